"""Daemons: move bytes and time between sockets and state machines."""

from chicorypost.daemons._balancer import BalancerDaemon, run_balancer
from chicorypost.daemons._control import run_control
from chicorypost.daemons._control_settings import ControlSettings
from chicorypost.daemons._engine import Engine, Part
from chicorypost.daemons._packets import PacketForwarder, open_packet_socket
from chicorypost.daemons._settings import (
    BalancerSettings,
    ProcessSettings,
    SettingsMistake,
    check_settings,
    load_settings,
    parse_endpoint,
)

__all__ = [
    "BalancerDaemon",
    "BalancerSettings",
    "ControlSettings",
    "Engine",
    "PacketForwarder",
    "Part",
    "ProcessSettings",
    "SettingsMistake",
    "check_settings",
    "load_settings",
    "open_packet_socket",
    "parse_endpoint",
    "run_balancer",
    "run_control",
]
