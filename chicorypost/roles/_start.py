"""Start of a role: settings, what serves early, log and loop."""

import gc
import sys

from chicorypost.events import Level
from chicorypost.platform import InvalidNodeSettings, NodeSettings, load_node_settings
from chicorypost.roles._event_log import EventLog

USAGE_EXIT_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit status."""
    settings = load_node_settings()
    if isinstance(settings, InvalidNodeSettings):
        print(f"settings can't be used: {settings.detail}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    match arguments:
        case ["balancer"]:
            _run_balancer(settings)
        case ["control"]:
            _run_control(settings)
        case _:
            print("usage: python -m chicorypost.roles balancer|control", file=sys.stderr)
            return USAGE_EXIT_STATUS
    return 0


def _run_balancer(settings: NodeSettings) -> None:
    from chicorypost.roles._startup_balancer import ImportHook, StartupBalancer

    journal = EventLog()
    early = EarlyBalancer(settings, journal)
    with ImportPump(early.run_once):
        from chicorypost.roles._balancer import run_balancer
        from chicorypost.roles._loop import run_loop

        open_log(settings, journal)
        freeze_imports()
    run_loop(run_balancer, early.hand_over_core(), journal)


def _run_control(settings: NodeSettings) -> None:
    from chicorypost.roles._control import run_control
    from chicorypost.roles._loop import run_loop

    journal = EventLog()
    open_log(settings, journal)
    freeze_imports()
    run_loop(run_control, settings, journal)


def open_log(settings: NodeSettings, journal: EventLog) -> None:
    """Write the events of a journal to standard output."""
    from chicorypost.events import NonBlockingOutput, configure_logging, log_event

    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logging(Level.INFO, settings.name, output)
    journal.start_writing(log_event)


def freeze_imports() -> None:
    """Leave what was imported out of all garbage collections to come."""
    gc.freeze()
    gc.enable()
