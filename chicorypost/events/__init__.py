"""Numbered log events and their catalogue."""

from chicorypost.events._catalogue import (
    Emit,
    EventSpec,
    FieldValue,
    Level,
    define_event,
    event_catalogue,
)
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
