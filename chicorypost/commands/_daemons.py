"""``chicorypost balancer``: run a balancer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar

import cappa
import trio

from chicorypost.commands._exit import ExitCode
from chicorypost.commands._settings import ProcessRole, load_settings_or_exit
from chicorypost.events import configure_logging

AnySettings = TypeVar("AnySettings")
Result = TypeVar("Result")


def run_daemon_or_exit(
    main: Callable[[AnySettings], Awaitable[Result]], settings: AnySettings
) -> Result:
    """Run a daemon; end the command on errors of the system, such as a port in use.

    Raises
    ------
    cappa.Exit
        If a listener, a certificate or a folder can't be used.
    """
    try:
        return trio.run(main, settings)
    except OSError as error:
        message = f"start failed: {error}; check listen, tls and folders in the settings"
        raise cappa.Exit(message, code=ExitCode.REFUSED) from error


@cappa.command(
    name="balancer",
    help="Run a balancer until SIGTERM.",
    description="Example: chicorypost balancer /etc/chicorypost/balancer-1.json",
)
@dataclass
class BalancerCommand:
    """Runs a balancer."""

    settings: Annotated[Path, cappa.Arg(help="JSON file with the settings.")]

    def __call__(self) -> None:
        """Load the settings and serve."""
        from chicorypost.daemons import BalancerSettings, run_balancer

        settings = load_settings_or_exit(self.settings, ProcessRole.BALANCER)
        assert isinstance(settings, BalancerSettings)
        configure_logging(settings.log.level, settings.id)
        run_daemon_or_exit(run_balancer, settings)
