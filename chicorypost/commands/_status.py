"""``chicorypost status``: control instances, balancers and what they apply."""

import json
from dataclasses import dataclass
from typing import Any

import cappa
from rich.console import Console
from rich.table import Table

from chicorypost.commands._client import OperatorClient, read_json
from chicorypost.commands._config import AsJson, Servers, build_version_table
from chicorypost.transport import ExchangeRequest


@cappa.command(
    name="status",
    help="Show the control instances, who is silent, and what balancers apply.",
    description="Example: chicorypost status --servers http://10.0.0.5:9300",
)
@dataclass
class StatusCommand:
    """Shows the status as one control instance knows it."""

    servers: Servers = ""
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch and print."""
        request = ExchangeRequest("GET", "/v1/status")
        status = read_json(OperatorClient(self.servers).run_request(request))
        if self.as_json:
            print(json.dumps(status))
            return
        console = Console()
        console.print(f"version {status['version']}, told by {status['instance']}")
        if status["out_of_touch"]:
            since = status["out_of_touch"]["since"]
            console.print(f"[bold]may be stale: out of touch since {since}[/bold]")
        console.print(_build_member_table(status))
        console.print(build_version_table(status["configuration"]))
        for name in status["configuration"]["unreachable"]:
            console.print(f"can't be reached: {name}")


def _build_member_table(status: Any) -> Table:
    table = Table("control instance", "role", "silent")
    kinds = (("voters", "voter"), ("learners", "learner"))
    for field, kind in kinds:
        for member in status[field]:
            name = member["instance"]
            role = "leader" if name == status["leader"] else kind
            silence = status["silent_seconds"].get(name)
            table.add_row(name, role, "" if silence is None else f"for {silence:.1f} s")
    for name, generation in status["waiting"].items():
        table.add_row(name, f"waits to be added ({generation})", "")
    return table
