"""``chicorypost evacuation``: start, end and show the evacuation of data centres."""

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from chicorypost.commands._client import OperatorClient, read_json
from chicorypost.commands._config import AsJson, Servers
from chicorypost.platform import EVACUATIONS_TARGET, make_evacuation_target
from chicorypost.transport import ExchangeRequest

DataCentre = Annotated[str, cappa.Arg(help="Name of the data centre, as upstreams announce it.")]


@cappa.command(
    name="start",
    help="Keep new flows away from a data centre; open flows stay.",
    description=(
        "Example: chicorypost evacuation start north-2 --servers http://10.0.0.5:8166. Exit codes: "
        "0 stored on a quorum, 1 refused, 3 unreachable (the order may have been stored; repeat "
        "it). A repeated order is acknowledged again."
    ),
)
@dataclass
class StartCommand:
    """Starts the evacuation of a data centre."""

    data_centre: DataCentre
    servers: Servers = ""

    def __call__(self) -> None:
        """Send the order until it is acknowledged."""
        _send_order(self.servers, self.data_centre, is_start=True)
        print(f"evacuation of {self.data_centre} is started")


@cappa.command(
    name="end",
    help="Let a data centre get new flows again.",
    description=(
        "Example: chicorypost evacuation end north-2 --servers http://10.0.0.5:8166. Exit codes as "
        "those of start."
    ),
)
@dataclass
class EndCommand:
    """Ends the evacuation of a data centre."""

    data_centre: DataCentre
    servers: Servers = ""

    def __call__(self) -> None:
        """Send the order until it is acknowledged."""
        _send_order(self.servers, self.data_centre, is_start=False)
        print(f"evacuation of {self.data_centre} is ended")


@cappa.command(
    name="show",
    help="Print the evacuated data centres, as confirmed by a quorum.",
    description="Example: chicorypost evacuation show --servers http://10.0.0.5:8166",
)
@dataclass
class ShowCommand:
    """Prints the evacuated data centres, one a line."""

    servers: Servers = ""
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch and print the data centres."""
        request = ExchangeRequest("GET", EVACUATIONS_TARGET)
        evacuations = read_json(OperatorClient(self.servers).run_request(request))
        if self.as_json:
            print(json.dumps(evacuations))
            return
        for name in evacuations["evacuated"]:
            print(name)


@cappa.command(name="evacuation", help="Start, end and show the evacuation of data centres.")
@dataclass
class EvacuationGroup:
    """Group of the evacuation commands."""

    command: cappa.Subcommands[StartCommand | EndCommand | ShowCommand]


def _send_order(servers: str, data_centre: str, is_start: bool) -> None:
    request = ExchangeRequest("POST", make_evacuation_target(data_centre, is_start))
    read_json(OperatorClient(servers).run_request(request))
