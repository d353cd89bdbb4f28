"""``chicorypost keys``: a certificate authority and certificates for tests."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chicorypost.commands._exit import ExitCode
from chicorypost.transport import write_test_certificates


@cappa.command(
    name="keys",
    help="Make a test certificate authority and one certificate for each name.",
    description="Example: chicorypost keys ./keys balancer-1 control-1 operator",
)
@dataclass
class KeysCommand:
    """Makes certificates for tests; production keys come from the operator's own authority."""

    folder: Annotated[Path, cappa.Arg(help="Folder to write into; made if it is missing.")]
    names: Annotated[
        list[str], cappa.Arg(help="Instance ids, and 'operator' for the operators' commands.")
    ]

    def __call__(self, output: cappa.Output) -> None:
        """Write authority.pem and NAME.pem, NAME.key for each name."""
        if (self.folder / "authority.pem").exists():
            message = f"{self.folder} has an authority.pem already; name a folder without one"
            raise cappa.Exit(message, code=ExitCode.USAGE)
        self.folder.mkdir(parents=True, exist_ok=True)
        write_test_certificates(self.folder, self.names)
        output.output(f"wrote authority.pem and {len(self.names)} certificates to {self.folder}")
