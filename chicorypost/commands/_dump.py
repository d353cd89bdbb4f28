"""``chicorypost dump``: print the whole decision state of a process."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from chicorypost.base import Endpoint
from chicorypost.commands._exit import ExitCode
from chicorypost.daemons import parse_endpoint
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

MAX_DUMP_BYTES = 256 * 1024 * 1024
DUMP_TIMEOUT_SECONDS = 10.0


@cappa.command(
    name="dump",
    help="Print the whole decision state of a process as JSON.",
    description="Example: chicorypost dump 10.0.0.5:9100",
)
@dataclass
class DumpCommand:
    """Prints the dump of a process."""

    admin: Annotated[str, cappa.Arg(help="host:port of the admin listener of the process.")]

    def __call__(self) -> None:
        """Fetch and print the dump."""
        try:
            endpoint = parse_endpoint(self.admin)
        except ValueError as error:
            raise cappa.Exit(str(error), code=ExitCode.USAGE) from error
        trio.run(self._print, endpoint)

    async def _print(self, endpoint: Endpoint) -> None:
        answer: object = None
        with trio.move_on_after(DUMP_TIMEOUT_SECONDS):
            request = ExchangeRequest("GET", "/dump")
            answer = await exchange_once(endpoint, request, MAX_DUMP_BYTES)
        if not isinstance(answer, ExchangeResponse):
            message = (
                f"{self.admin} does not answer; is it the admin listener of a running process?"
            )
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
        print(answer.body.decode(), end="")
