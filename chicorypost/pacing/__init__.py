"""Pacing: limits the send rate of datagrams to the capacity of a slow link."""

from chicorypost.pacing._pacer import LinkPacer, QueuedDatagram
from chicorypost.pacing._settings import PacingSettings

__all__ = ["LinkPacer", "PacingSettings", "QueuedDatagram"]
