"""Start of a role: settings, forwarding during imports, log output and event loop."""

import gc
import sys

from chicorypost.events import Level
from chicorypost.platform import InvalidNodeSettings, NodeSettings, load_node_settings
from chicorypost.roles._event_log import EventLog

USAGE_EXIT_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped and return the exit status."""
    settings = load_node_settings()
    if isinstance(settings, InvalidNodeSettings):
        print(f"invalid settings: {settings.detail}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    match arguments:
        case ["balancer"] if settings.packets is None or settings.readiness is None:
            return _report_missing_field("datagram_addr and readiness_addr")
        case ["balancer"]:
            _run_balancer(settings)
        case ["control"] if settings.control is None or settings.data_folder is None:
            return _report_missing_field("control and data_dir")
        case ["control"]:
            _run_control(settings)
        case _:
            print("usage: python -m chicorypost.roles balancer|control", file=sys.stderr)
            return USAGE_EXIT_STATUS
    return 0


def _report_missing_field(names: str) -> int:
    print(f"invalid settings: this role needs {names}", file=sys.stderr)
    return USAGE_EXIT_STATUS


def _run_balancer(settings: NodeSettings) -> None:
    from chicorypost.roles._startup_balancer import ImportHook, StartupBalancer

    event_log = EventLog()
    startup_balancer = StartupBalancer(settings, event_log)
    with ImportHook(startup_balancer.run_once):
        from chicorypost.roles._balancer import run_balancer
        from chicorypost.roles._loop import run_loop

        open_log(settings, event_log)
        freeze_imports()
    run_loop(run_balancer, startup_balancer.hand_over_core(), event_log)


def _run_control(settings: NodeSettings) -> None:
    from chicorypost.roles._control import run_control
    from chicorypost.roles._loop import run_loop

    event_log = EventLog()
    open_log(settings, event_log)
    freeze_imports()
    run_loop(run_control, settings, event_log)


def open_log(settings: NodeSettings, event_log: EventLog) -> None:
    """Start writing the events of an event log to standard output."""
    from chicorypost.events import NonBlockingOutput, configure_logging, log_event

    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logging(Level.INFO, settings.name, output)
    event_log.start_writing(log_event)


def freeze_imports() -> None:
    """Enable garbage collection, excluding all objects that imports have created."""
    gc.freeze()
    gc.enable()
