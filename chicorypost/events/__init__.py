"""Numbered log events, their catalogue and the JSON log."""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily
from chicorypost.events._catalogue import (
    Emit,
    EventSpec,
    FieldValue,
    Level,
    define_event,
    event_catalogue,
)

if TYPE_CHECKING:
    from chicorypost.events._limit import LineLimiter, LogBudget, NonBlockingOutput
    from chicorypost.events._logging import configure_logging, log_event

__all__ = [
    "Emit",
    "EventSpec",
    "FieldValue",
    "Level",
    "LineLimiter",
    "LogBudget",
    "NonBlockingOutput",
    "configure_logging",
    "define_event",
    "event_catalogue",
    "log_event",
]

__getattr__ = import_lazily(
    __name__,
    {
        "LineLimiter": "_limit",
        "LogBudget": "_limit",
        "NonBlockingOutput": "_limit",
        "configure_logging": "_logging",
        "log_event": "_logging",
    },
)
