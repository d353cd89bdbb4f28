"""Processes that connect sockets, disk and timers to the state machines.

Names are imported on first use, so that a process loads only the modules of its role.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.daemons._balancer import BalancerDaemon, run_balancer
    from chicorypost.daemons._control import run_control
    from chicorypost.daemons._control_log import LogFailure
    from chicorypost.daemons._control_settings import ControlSettings
    from chicorypost.daemons._dispatch import EventDispatcher, Registration, message_types_in
    from chicorypost.daemons._engine import Engine
    from chicorypost.daemons._packets import PacketForwarder
    from chicorypost.daemons._settings import (
        BalancerSettings,
        InvalidSetting,
        ProcessSettings,
        check_settings,
        load_settings,
        parse_endpoint,
    )

__all__ = [
    "BalancerDaemon",
    "BalancerSettings",
    "ControlSettings",
    "Engine",
    "EventDispatcher",
    "InvalidSetting",
    "LogFailure",
    "PacketForwarder",
    "ProcessSettings",
    "Registration",
    "check_settings",
    "load_settings",
    "message_types_in",
    "parse_endpoint",
    "run_balancer",
    "run_control",
]

__getattr__ = import_lazily(
    __name__,
    {
        "BalancerDaemon": "_balancer",
        "BalancerSettings": "_settings",
        "ControlSettings": "_control_settings",
        "LogFailure": "_control_log",
        "EventDispatcher": "_dispatch",
        "Engine": "_engine",
        "PacketForwarder": "_packets",
        "Registration": "_dispatch",
        "ProcessSettings": "_settings",
        "InvalidSetting": "_settings",
        "check_settings": "_settings",
        "load_settings": "_settings",
        "message_types_in": "_dispatch",
        "parse_endpoint": "_settings",
        "run_balancer": "_balancer",
        "run_control": "_control",
    },
)
