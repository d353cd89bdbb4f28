"""``chicorypost control`` runs a control instance; ``members`` changes the membership."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from chicorypost.commands._client import OperatorClient, format_problem, read_json
from chicorypost.commands._config import Servers
from chicorypost.commands._daemons import run_daemon_or_exit
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._settings import ProcessRole, load_settings_or_exit
from chicorypost.events import configure_logging
from chicorypost.transport import ExchangeRequest

UNKNOWN_ATTEMPT_NOTE = (
    "An earlier attempt of this command got no answer and may have made the change; see "
    "chicorypost status."
)


@cappa.command(
    name="control",
    help="Run a control instance until SIGTERM.",
    description="Example: chicorypost control /etc/chicorypost/control-1.json",
)
@dataclass
class ControlCommand:
    """Runs a control instance."""

    settings: Annotated[Path, cappa.Arg(help="JSON file with the settings.")]

    def __call__(self) -> None:
        """Load the settings and serve."""
        from chicorypost.daemons import ControlSettings, LogFailure, run_control

        settings = load_settings_or_exit(self.settings, ProcessRole.CONTROL)
        assert isinstance(settings, ControlSettings)
        configure_logging(settings.log.level, settings.id)
        try:
            failure = run_daemon_or_exit(run_control, settings)
        except BlockingIOError as error:
            message = f"data folder {settings.data_folder} is in use by another process"
            raise cappa.Exit(message, code=ExitCode.REFUSED) from error
        if isinstance(failure, LogFailure):
            message = f"the log in data folder {settings.data_folder} failed: {failure}"
            raise cappa.Exit(message, code=ExitCode.REFUSED)
        if failure is not None:
            message = (
                f"data folder {settings.data_folder} is damaged: {failure.kind.value} in "
                f"{failure.file}: {failure.detail}; empty the folder and replace this member"
            )
            raise cappa.Exit(message, code=ExitCode.REFUSED)


@dataclass
class MemberChange:
    """Arguments of a change of the members of the replicated log."""

    instance: Annotated[str, cappa.Arg(help="Instance id of the member.")]
    generation: Annotated[
        str,
        cappa.Arg(long="--generation", help="Generation of its data folder, as shown by status."),
    ] = ""
    servers: Servers = ""

    def submit(self, action: str) -> None:
        """Submit the change and print its outcome."""
        body = {"action": action, "instance": self.instance}
        if self.generation:
            body["generation"] = self.generation
        request = ExchangeRequest("POST", "/v1/members", (), json.dumps(body).encode())
        client = OperatorClient(self.servers)
        response = client.run_request(request)
        if response.status >= 400 and client.has_unknown_attempt:
            problem = f"{format_problem(response)}\n{UNKNOWN_ATTEMPT_NOTE}"
            raise cappa.Exit(problem, code=ExitCode.REFUSED)
        read_json(response)
        print(f"done: {action} {self.instance}")


@cappa.command(
    name="add", help="Add an instance as a learner, which receives the log and has no vote."
)
@dataclass
class AddMember(MemberChange):
    """Adds a learner."""

    def __call__(self) -> None:
        """Submit the change."""
        self.submit("add")


@cappa.command(name="promote", help="Make a learner a voter after it has caught up with the log.")
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
    help="Change the members of the replicated log, one control instance at a time.",
    description=(
        "To replace a lost member, remove it, add the instance with its new data folder and "
        "promote it."
    ),
)
@dataclass
class MembersCommand:
    """Group of the membership commands."""

    command: cappa.Subcommands[AddMember | PromoteMember | RemoveMemberCommand]
