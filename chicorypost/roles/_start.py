"""Start of a role: settings, what serves early, log and loop."""

import gc
import sys

from chicorypost.events import Level
from chicorypost.platform import NodeSettings, NodeSettingsMistake, load_node_settings
from chicorypost.roles._journal import Journal

USAGE_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit status."""
    settings = load_node_settings()
    if isinstance(settings, NodeSettingsMistake):
        print(f"settings can't be used: {settings.detail}", file=sys.stderr)
        return USAGE_STATUS
    match arguments:
        case ["balancer"]:
            _run_balancer(settings)
        case ["control"]:
            _run_control(settings)
        case _:
            print("usage: python -m chicorypost.roles balancer|control", file=sys.stderr)
            return USAGE_STATUS
    return 0


def _run_balancer(settings: NodeSettings) -> None:
    from chicorypost.roles._early import EarlyBalancer, ImportPump

    journal = Journal()
    early = EarlyBalancer(settings, journal)
    with ImportPump(early.pump):
        from chicorypost.roles._balancer import run_balancer
        from chicorypost.roles._loop import run_loop

        open_log(settings, journal)
        keep_imports()
    run_loop(run_balancer, early.hand_over(), journal)


def _run_control(settings: NodeSettings) -> None:
    from chicorypost.roles._control import run_control
    from chicorypost.roles._loop import run_loop

    journal = Journal()
    open_log(settings, journal)
    keep_imports()
    run_loop(run_control, settings, journal)


def open_log(settings: NodeSettings, journal: Journal) -> None:
    """Write the events of a journal to standard output."""
    from chicorypost.events import NonBlockingOutput, configure_logging, log_event

    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logging(Level.INFO, settings.name, output)
    journal.open(log_event)


def keep_imports() -> None:
    """Leave what was imported out of all garbage collections to come."""
    gc.freeze()
    gc.enable()
