"""``chicorypost dump``: print the state that the decisions of a process depend on."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from chicorypost.base import Endpoint
from chicorypost.commands._exit import ExitCode
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

MAX_DUMP_BYTES = 256 * 1024 * 1024
DUMP_TIMEOUT_SECONDS = 10.0


@cappa.command(
    name="dump",
    help="Print the state that the decisions of a process depend on, as JSON.",
    description="Example: chicorypost dump 10.0.0.5:9100",
)
@dataclass
class DumpCommand:
    """Prints the state of a process."""

    admin: Annotated[str, cappa.Arg(help="host:port of the admin listener of the process.")]

    def __call__(self) -> None:
        """Fetch and print the state."""
        from chicorypost.daemons import parse_endpoint

        try:
            endpoint = parse_endpoint(self.admin)
        except ValueError as error:
            raise cappa.Exit(str(error), code=ExitCode.USAGE) from error
        trio.run(self._print, endpoint)

    async def _print(self, endpoint: Endpoint) -> None:
        response: object = None
        with trio.move_on_after(DUMP_TIMEOUT_SECONDS):
            request = ExchangeRequest("GET", "/dump")
            response = await exchange_once(endpoint, request, MAX_DUMP_BYTES)
        if not isinstance(response, ExchangeResponse):
            message = (
                f"{self.admin} did not respond; allowed is the admin listener of a running process"
            )
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
        print(response.body.decode(), end="")
