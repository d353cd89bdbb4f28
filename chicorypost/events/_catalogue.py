"""Catalogue of numbered log events.

Each package defines its events in its own ``_events.py``: base and daemons 1-99, consensus 100-199,
configuration 200-299, membership 300-399, flows 400-499, upstreams 500-599, requests 600-699,
transport 700-799, announcements, cookies and observations 800-899; roles use 40-69 of the first
range.
"""

from collections.abc import Mapping
from enum import Enum

import msgspec

from chicorypost.base import Effect

FieldValue = str | int | float | bool | None


class Level(Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventSpec(msgspec.Struct, frozen=True):
    """Catalogue entry of one event."""

    number: int
    name: str
    level: Level
    meaning: str
    fields: tuple[str, ...]

    def emit(self, **fields: FieldValue) -> "Emit":
        """Return the effect that logs the event once.

        Raises
        ------
        ValueError
            If the names of the fields differ from those of the catalogue entry.
        """
        if set(fields) != set(self.fields):
            got, allowed = sorted(fields), sorted(self.fields)
            raise ValueError(f"event {self.number} has wrong fields: got {got}, allowed {allowed}")
        return Emit(self, fields)


class Emit(Effect, msgspec.Struct, frozen=True):
    """Effect that logs an event and counts it."""

    spec: EventSpec
    fields: Mapping[str, FieldValue]


_catalogue: dict[int, EventSpec] = {}


def define_event(number: int, name: str, level: Level, meaning: str, *fields: str) -> EventSpec:
    """Add an event to the catalogue.

    Parameters
    ----------
    number : int
        Unique number, within the range of the package.
    name : str
        Unique name, in lower case with hyphens.
    level : Level
        Severity.
    meaning : str
        Meaning of the event in one sentence for operators.
    *fields : str
        Names of the fields of the event.

    Returns
    -------
    EventSpec
        The catalogue entry; its `emit` returns the effect that logs the event.

    Raises
    ------
    ValueError
        If the number is in use.
    """
    if number in _catalogue:
        raise ValueError(f"event number {number} is already used by {_catalogue[number].name}")
    spec = EventSpec(number, name, level, meaning, fields)
    _catalogue[number] = spec
    return spec


def event_catalogue() -> list[EventSpec]:
    """Return all defined entries, ordered by number."""
    return [_catalogue[number] for number in sorted(_catalogue)]
