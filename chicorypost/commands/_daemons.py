"""``chicorypost balancer``: run the process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import trio

from chicorypost.commands._settings import Role, load_or_exit
from chicorypost.daemons import BalancerSettings, run_balancer
from chicorypost.events import configure_logging


@cappa.command(
    name="balancer",
    help="Run a balancer until SIGTERM.",
    description="Example: chicorypost balancer /etc/chicorypost/balancer-1.json",
)
@dataclass
class BalancerCommand:
    """Runs a balancer."""

    settings: Annotated[Path, cappa.Arg(help="Settings file in JSON.")]

    def __call__(self) -> None:
        """Check the settings, then serve."""
        settings = load_or_exit(self.settings, Role.BALANCER)
        assert isinstance(settings, BalancerSettings)
        configure_logging(settings.log.level, settings.id)
        trio.run(run_balancer, settings)
