"""File in which a control instance saves its announcement table."""

import os
from collections.abc import Callable
from pathlib import Path

import trio

from chicorypost.announcements import AnnouncementTableReply, ListedUpstream
from chicorypost.base import decode, encode
from chicorypost.events import Emit
from chicorypost.roles._events import ANNOUNCEMENTS_NOT_SAVED

MIN_SAVE_PAUSE_SECONDS = 0.05
"""Shortest pause between two saves; well below the time that a leave notice waits for its save."""
SAVE_RETRY_SECONDS = 0.5
"""Pause after a failed save."""
MAX_SAVE_SHARE = 0.1
"""Share of the time that saving may take: a large table is saved less often."""
TEMPORARY_SUFFIX = ".new"


class AnnouncementTableFile:
    """Saves the announcement table in a thread and loads it at start.

    The file shortens recovery after a restart and keeps what upstreams were told that they may
    rely on: that they have left. A missing or damaged file is treated as an empty table.

    Parameters
    ----------
    path : Path
        Path of the file.
    list_upstreams : callable
        Returns the table to save.
    on_saved : callable
        Receives the number of the latest change that is on disk.
    emit : callable
        Receives log events.
    """

    def __init__(
        self,
        path: Path,
        list_upstreams: Callable[[], tuple[ListedUpstream, ...]],
        on_saved: Callable[[int], None],
        emit: Callable[[Emit], None],
    ) -> None:
        self.path = path
        self.list_upstreams = list_upstreams
        self.on_saved = on_saved
        self.emit = emit
        self.change_number = 0
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

    def schedule_save(self, change_number: int) -> None:
        """Schedule a save of the table with all changes up to `change_number`."""
        self.change_number = change_number
        self.save_requested.set()

    async def run(self) -> None:
        """Save tables until cancelled."""
        last_error = ""
        while True:
            await self.save_requested.wait()
            self.save_requested = trio.Event()
            started_at = trio.current_time()
            change_number = self.change_number
            data = encode(AnnouncementTableReply(False, self.list_upstreams()))
            error_text = await trio.to_thread.run_sync(
                self._replace_file, data, abandon_on_cancel=True
            )
            if error_text and error_text != last_error:
                self.emit(ANNOUNCEMENTS_NOT_SAVED.emit(reason=error_text))
            last_error = error_text
            if error_text:
                self.save_requested.set()
                await trio.sleep(SAVE_RETRY_SECONDS)
            else:
                self.on_saved(change_number)
                save_seconds = trio.current_time() - started_at
                await trio.sleep(max(MIN_SAVE_PAUSE_SECONDS, save_seconds / MAX_SAVE_SHARE))

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
