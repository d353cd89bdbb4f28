"""Start of a role: settings, log and loop."""

import gc
import sys

import trio

from chicorypost.events import Level, NonBlockingOutput, configure_logging
from chicorypost.platform import NodeSettingsMistake
from chicorypost.roles._process import Journal
from chicorypost.roles._settings_file import load_node_settings

USAGE_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit status."""
    settings = load_node_settings()
    if isinstance(settings, NodeSettingsMistake):
        print(f"settings can't be used: {settings.detail}", file=sys.stderr)
        return USAGE_STATUS
    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logging(Level.INFO, settings.name, output)
    match arguments:
        case ["balancer"]:
            from chicorypost.roles._balancer import run_balancer

            keep_imports()
            trio.run(run_balancer, settings, Journal())
        case ["control"]:
            from chicorypost.roles._control import run_control

            keep_imports()
            trio.run(run_control, settings, Journal())
        case _:
            print("usage: python -m chicorypost.roles balancer|control", file=sys.stderr)
            return USAGE_STATUS
    return 0


def keep_imports() -> None:
    """Leave what was imported out of all garbage collections to come."""
    gc.freeze()
    gc.enable()
