"""The saved table of announcements of a control instance."""

import os
from collections.abc import Callable
from pathlib import Path

import trio

from chicorypost.announcements import AnnouncementTableReply, ListedUpstream
from chicorypost.base import decode, encode
from chicorypost.events import Emit
from chicorypost.roles._events import TABLE_NOT_SAVED

SAVE_SECONDS = 0.5
"""Pause between two saves; what changes meanwhile is announced again anyway."""
TEMPORARY_SUFFIX = ".new"


class TableFile:
    """Saves the table in a thread and loads it at the start.

    The file only shortens the time after a restart: one that is missing or damaged is as good as
    an empty table.

    Parameters
    ----------
    path : Path
        The file.
    emit : callable
        Takes log events.
    """

    def __init__(self, path: Path, emit: Callable[[Emit], None]) -> None:
        self.path = path
        self.emit = emit
        self.pending: tuple[ListedUpstream, ...] | None = None
        self.wake = trio.Event()

    def load(self) -> tuple[ListedUpstream, ...]:
        """Return the saved table, or an empty one."""
        try:
            message = decode(self.path.read_bytes())
        except FileNotFoundError:
            return ()
        except OSError as error:
            self.emit(TABLE_NOT_SAVED.emit(reason=str(error)))
            return ()
        if not isinstance(message, AnnouncementTableReply):
            # The power went while the file was written.
            self.emit(TABLE_NOT_SAVED.emit(reason="the file is damaged"))
            return ()
        return message.listed

    def save(self, listed: tuple[ListedUpstream, ...]) -> None:
        """Save a table soon; a later one replaces it."""
        self.pending = listed
        self.wake.set()

    async def run(self) -> None:
        """Save tables until cancelled."""
        failed = ""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            pending, self.pending = self.pending, None
            if pending is not None:
                data = encode(AnnouncementTableReply(False, pending))
                reason = await trio.to_thread.run_sync(self._write, data, abandon_on_cancel=True)
                if reason and reason != failed:
                    self.emit(TABLE_NOT_SAVED.emit(reason=reason))
                failed = reason
            await trio.sleep(SAVE_SECONDS)

    def _write(self, data: bytes) -> str:
        """Replace the file; return why that failed, or an empty string."""
        temporary = self.path.with_name(self.path.name + TEMPORARY_SUFFIX)
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.path)
            folder = os.open(self.path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            return str(error)
        return ""
