"""The root command."""

from dataclasses import dataclass

import cappa

from chicorypost.commands._config import ConfigCommand
from chicorypost.commands._control import ControlCommand, MembersCommand
from chicorypost.commands._daemons import BalancerCommand
from chicorypost.commands._dump import DumpCommand
from chicorypost.commands._evacuation import EvacuationGroup
from chicorypost.commands._explain import ExplainCommand
from chicorypost.commands._keys import KeysCommand
from chicorypost.commands._route import RouteCommand
from chicorypost.commands._settings import SettingsCommand
from chicorypost.commands._status import StatusCommand


@cappa.command(
    name="chicorypost",
    help="Layer-4 load balancer.",
    description=(
        "Exit codes: 0 done, 1 refused, 2 invalid usage or settings, 3 unreachable, "
        "4 stale version, 5 not in force everywhere in time."
    ),
)
@dataclass
class RootCommand:
    """The root command."""

    command: cappa.Subcommands[
        BalancerCommand
        | ControlCommand
        | ConfigCommand
        | EvacuationGroup
        | StatusCommand
        | MembersCommand
        | DumpCommand
        | ExplainCommand
        | KeysCommand
        | RouteCommand
        | SettingsCommand
    ]


def main() -> None:
    """Parse the arguments and run the selected command."""
    cappa.invoke(RootCommand)
