"""Writes events as JSON lines."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger.msgspec import MsgspecFormatter

from chicorypost.events._catalogue import Emit, Level

LOGGER_NAME = "chicorypost"
MILLISECONDS_PER_SECOND = 1000.0


class LogOutput(Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> object:
        """Write one line."""

    def flush(self) -> None:
        """Hand over what was written."""


_LOGGING_LEVELS = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


def configure_logging(level: Level, instance: str, output: LogOutput | None = None) -> None:
    """Send the events of this process to a stream as JSON lines.

    Parameters
    ----------
    level : Level
        Lowest severity that is written.
    instance : str
        Written into each line.
    output : text stream, default standard error
        Where lines go.
    """
    handler = logging.StreamHandler(output or sys.stderr)
    handler.setFormatter(
        MsgspecFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
            static_fields={"instance": instance},
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(_LOGGING_LEVELS[level])


def log_event(emit: Emit, at: float | None = None) -> None:
    """Write one event.

    Parameters
    ----------
    emit : Emit
        The event.
    at : float, optional
        When it occurred, in seconds of the time of day; now if not given.
    """
    extra = {"number": emit.spec.number, **emit.fields}
    # The standard library reserves some attribute names of a log record.
    safe = {
        f"{key}_" if key in _RESERVED_ATTRIBUTES else key: value for key, value in extra.items()
    }
    logger, level = logging.getLogger(LOGGER_NAME), _LOGGING_LEVELS[emit.spec.level]
    if not logger.isEnabledFor(level):
        return
    record = logger.makeRecord(logger.name, level, "", 0, emit.spec.name, (), None, extra=safe)
    if at is not None:
        record.created = at
        record.msecs = at % 1.0 * MILLISECONDS_PER_SECOND
    logger.handle(record)


_RESERVED_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
