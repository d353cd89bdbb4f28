"""``chicorypost keys``: create a certificate authority and certificates for tests."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chicorypost.commands._exit import ExitCode


@cappa.command(
    name="keys",
    help="Create a test certificate authority and one certificate per name.",
    description="Example: chicorypost keys ./keys balancer-1 control-1 operator",
)
@dataclass
class KeysCommand:
    """Creates test certificates; production certificates come from the operator's authority."""

    folder: Annotated[Path, cappa.Arg(help="Output folder; created if missing.")]
    names: Annotated[
        list[str], cappa.Arg(help="Instance ids, and 'operator' for operator commands.")
    ]

    def __call__(self, output: cappa.Output) -> None:
        """Write authority.pem and, for each name, NAME.pem and NAME.key."""
        from chicorypost.transport import write_test_certificates

        if (self.folder / "authority.pem").exists():
            message = f"{self.folder} already contains authority.pem; use a folder without it"
            raise cappa.Exit(message, code=ExitCode.USAGE)
        self.folder.mkdir(parents=True, exist_ok=True)
        write_test_certificates(self.folder, self.names)
        output.output(f"wrote authority.pem and {len(self.names)} certificates to {self.folder}")
