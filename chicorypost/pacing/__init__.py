"""Pacing: datagrams leave no faster than a thin link takes them."""

from chicorypost.pacing._pacer import LinkPacer, QueuedDatagram
from chicorypost.pacing._settings import PacingSettings

__all__ = ["LinkPacer", "PacingSettings", "QueuedDatagram"]
