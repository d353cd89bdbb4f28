"""``chicorypost control``: run a control instance; ``members``: change who holds the log."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chicorypost.commands._client import OperatorClient, read_json
from chicorypost.commands._config import Servers
from chicorypost.commands._daemons import run_daemon_or_exit
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._settings import ProcessRole, load_settings_or_exit
from chicorypost.daemons import ControlSettings, run_control
from chicorypost.events import configure_logging
from chicorypost.transport import ExchangeRequest


@cappa.command(
    name="control",
    help="Run a control instance until SIGTERM.",
    description="Example: chicorypost control /etc/chicorypost/control-1.json",
)
@dataclass
class ControlCommand:
    """Runs a control instance."""

    settings: Annotated[Path, cappa.Arg(help="Settings file in JSON.")]

    def __call__(self) -> None:
        """Check the settings, then serve."""
        settings = load_settings_or_exit(self.settings, ProcessRole.CONTROL)
        assert isinstance(settings, ControlSettings)
        configure_logging(settings.log.level, settings.id)
        try:
            damage = run_daemon_or_exit(run_control, settings)
        except BlockingIOError as error:
            message = f"the data folder {settings.data_folder} is in use by another process"
            raise cappa.Exit(message, code=ExitCode.REFUSED) from error
        if damage is not None:
            message = (
                f"the data folder {settings.data_folder} can't be trusted: {damage.kind.value} in "
                f"{damage.file}: {damage.detail}; empty the folder and replace this member"
            )
            raise cappa.Exit(message, code=ExitCode.REFUSED)


@dataclass
class MemberChange:
    """One change of the members of the replicated log."""

    instance: Annotated[str, cappa.Arg(help="Instance id of the member.")]
    generation: Annotated[
        str, cappa.Arg(long="--generation", help="Generation of its data folder; see status.")
    ] = ""
    servers: Servers = ""

    def submit(self, action: str) -> None:
        """Submit the change and print its outcome."""
        body = {"action": action, "instance": self.instance}
        if self.generation:
            body["generation"] = self.generation
        request = ExchangeRequest("POST", "/v1/members", (), json.dumps(body).encode())
        read_json(OperatorClient(self.servers).run_request(request))
        print(f"done: {action} {self.instance}")


@cappa.command(name="add", help="Let an instance receive the log, without a vote yet.")
@dataclass
class AddMember(MemberChange):
    """Adds a learner."""

    def __call__(self) -> None:
        """Submit the change."""
        self.submit("add")


@cappa.command(name="promote", help="Give a member its vote once its disk has caught up.")
@dataclass
class PromoteMember(MemberChange):
    """Promotes a learner."""

    def __call__(self) -> None:
        """Submit the change."""
        self.submit("promote")


@cappa.command(name="remove", help="Remove a member, such as one whose disk was lost.")
@dataclass
class RemoveMemberCommand(MemberChange):
    """Removes a member."""

    def __call__(self) -> None:
        """Submit the change."""
        self.submit("remove")


@cappa.command(
    name="members",
    help="Change which control instances hold the replicated log, one at a time.",
    description="To replace a lost member: remove it, add the new folder, promote it.",
)
@dataclass
class MembersCommand:
    """The membership commands."""

    command: cappa.Subcommands[AddMember | PromoteMember | RemoveMemberCommand]
