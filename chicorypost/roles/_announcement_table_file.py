"""File in which a control instance saves its announcement table."""

import os
from collections.abc import Callable
from pathlib import Path

import trio

from chicorypost.announcements import AnnouncementTableReply, ListedUpstream
from chicorypost.base import decode, encode
from chicorypost.events import Emit
from chicorypost.roles._events import ANNOUNCEMENTS_NOT_SAVED

SAVE_INTERVAL_SECONDS = 0.5
"""Pause between two saves; changes in between are announced again anyway."""
TEMPORARY_SUFFIX = ".new"


class AnnouncementTableFile:
    """Saves the announcement table in a thread and loads it at start.

    The file only shortens recovery after a restart; a missing or damaged file is treated as an
    empty table.

    Parameters
    ----------
    path : Path
        Path of the file.
    emit : callable
        Receives log events.
    """

    def __init__(self, path: Path, emit: Callable[[Emit], None]) -> None:
        self.path = path
        self.emit = emit
        self.unsaved_upstreams: tuple[ListedUpstream, ...] | None = None
        self.save_requested = trio.Event()

    def load_table(self) -> tuple[ListedUpstream, ...]:
        """Return the saved table, or an empty one if the file is missing, unreadable or damaged."""
        try:
            message = decode(self.path.read_bytes())
        except FileNotFoundError:
            return ()
        except OSError as error:
            self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason=str(error)))
            return ()
        if not isinstance(message, AnnouncementTableReply):
            # Power was lost during a write.
            self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason="the announcement table file is damaged"))
            return ()
        return message.listed

    def schedule_save(self, listed: tuple[ListedUpstream, ...]) -> None:
        """Schedule a save of the table; replaces a table that is not saved yet."""
        self.unsaved_upstreams = listed
        self.save_requested.set()

    async def run(self) -> None:
        """Save tables until cancelled."""
        last_error = ""
        while True:
            await self.save_requested.wait()
            self.save_requested = trio.Event()
            listed, self.unsaved_upstreams = self.unsaved_upstreams, None
            if listed is not None:
                data = encode(AnnouncementTableReply(False, listed))
                error_text = await trio.to_thread.run_sync(
                    self._replace_file, data, abandon_on_cancel=True
                )
                if error_text and error_text != last_error:
                    self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason=error_text))
                last_error = error_text
            await trio.sleep(SAVE_INTERVAL_SECONDS)

    def _replace_file(self, data: bytes) -> str:
        """Replace the file atomically; return the error, or an empty string on success."""
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
