"""Numbered log events and their catalogue."""

from chicorypost.events._catalogue import (
    Emit,
    EventSpec,
    FieldValue,
    Level,
    define_event,
    event_catalogue,
)

__all__ = ["Emit", "EventSpec", "FieldValue", "Level", "define_event", "event_catalogue"]
