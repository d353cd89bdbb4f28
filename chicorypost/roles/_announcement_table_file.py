"""The saved table of announcements of a control instance."""

import os
from collections.abc import Callable
from pathlib import Path

import trio

from chicorypost.announcements import AnnouncementTableReply, ListedUpstream
from chicorypost.base import decode, encode
from chicorypost.events import Emit
from chicorypost.roles._events import ANNOUNCEMENTS_NOT_SAVED

SAVE_INTERVAL_SECONDS = 0.5
"""Pause between two saves; what changes meanwhile is announced again anyway."""
TEMPORARY_SUFFIX = ".new"


class AnnouncementTableFile:
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
        self.unsaved_upstreams: tuple[ListedUpstream, ...] | None = None
        self.save_requested = trio.Event()

    def load_table(self) -> tuple[ListedUpstream, ...]:
        """Return the saved table, or an empty one."""
        try:
            message = decode(self.path.read_bytes())
        except FileNotFoundError:
            return ()
        except OSError as error:
            self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason=str(error)))
            return ()
        if not isinstance(message, AnnouncementTableReply):
            # The power went while the file was written.
            self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason="the file is damaged"))
            return ()
        return message.listed

    def schedule_save(self, listed: tuple[ListedUpstream, ...]) -> None:
        """Save a table soon; a later one replaces it."""
        self.unsaved_upstreams = listed
        self.save_requested.set()

    async def run(self) -> None:
        """Save tables until cancelled."""
        failed = ""
        while True:
            await self.save_requested.wait()
            self.save_requested = trio.Event()
            pending, self.unsaved_upstreams = self.unsaved_upstreams, None
            if pending is not None:
                data = encode(AnnouncementTableReply(False, pending))
                reason = await trio.to_thread.run_sync(
                    self._replace_file, data, abandon_on_cancel=True
                )
                if reason and reason != failed:
                    self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason=reason))
                failed = reason
            await trio.sleep(SAVE_INTERVAL_SECONDS)

    def _replace_file(self, data: bytes) -> str:
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
