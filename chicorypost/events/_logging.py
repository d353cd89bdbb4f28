"""Writes events as JSON lines."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger.msgspec import MsgspecFormatter

from chicorypost.events._catalogue import Emit, Level

LOGGER_NAME = "chicorypost"


class Output(Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> object:
        """Write one line."""

    def flush(self) -> None:
        """Hand over what was written."""


_LEVELS = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


def configure_logging(level: Level, instance: str, output: Output | None = None) -> None:
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
    logger.setLevel(_LEVELS[level])


def log_event(emit: Emit) -> None:
    """Write one event."""
    extra = {"number": emit.spec.number, **emit.fields}
    # The standard library reserves some attribute names of a log record.
    safe = {f"{key}_" if key in _RESERVED else key: value for key, value in extra.items()}
    logging.getLogger(LOGGER_NAME).log(_LEVELS[emit.spec.level], emit.spec.name, extra=safe)


_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
