"""The data folder of a replica: identity, hard state, log and snapshot.

Files: ``identity``, ``state`` and ``snapshot-<index>`` hold one frame each and are replaced by
rename; ``log-<number>`` are segments of frames, each frame one write. An entry whose index isn't
greater than the last one replaces that one and all after it, so segments only ever grow.
"""

import uuid
from collections.abc import Callable
from pathlib import Path

from chicorypost.base import LogIndex, Record, pack_record
from chicorypost.consensus._files import DiskFileSystem, FileSystem
from chicorypost.consensus._frames import encode_frame
from chicorypost.consensus._interface import Persist, RecoveredState, StorageDamage
from chicorypost.consensus._records import Entry, Snapshot
from chicorypost.consensus._recovery import (
    IDENTITY_FILE,
    STATE_FILE,
    TEMPORARY_SUFFIX,
    FolderContent,
    FolderIdentity,
    LogFrame,
    Segment,
    read_folder,
    segment_file_name,
    snapshot_file_name,
)

SEGMENT_BYTES = 4 * 1024 * 1024
GENERATION_CHARACTERS = 16


def new_generation() -> str:
    """Return a generation that no other data folder has."""
    return uuid.uuid4().hex[:GENERATION_CHARACTERS]


class ReplicaStorage:
    """The data folder of one replica.

    Parameters
    ----------
    folder : Path
        Where the files live; made if missing.
    files : FileSystem, optional
        Operations on that folder; by default those of the disk.
    segment_bytes : int, default 4 MiB
        Size from which the log goes on in a new file.
    make_generation : callable
        Names the generation of an empty folder.

    Notes
    -----
    A failed sync is never tried again: the operating system may have dropped the data that it
    couldn't write, and a second sync would then succeed. The process has to stop and recover.
    """

    def __init__(
        self,
        folder: Path,
        files: FileSystem | None = None,
        segment_bytes: int = SEGMENT_BYTES,
        make_generation: Callable[[], str] = new_generation,
    ) -> None:
        self.folder = folder
        self.files = files if files is not None else DiskFileSystem(folder)
        self.segment_bytes = segment_bytes
        self.make_generation = make_generation
        self.segments: list[Segment] = []
        self.snapshot_file: str | None = None

    def recover(self) -> RecoveredState | StorageDamage:
        """Read what earlier writes left, cutting an interrupted last write.

        All that was read is synced: a process that was killed may have written without syncing,
        and what is read here is vouched for from now on.

        Raises
        ------
        OSError
            If the disk fails; recovery may be tried again.
        """
        content = read_folder(self.files)
        if isinstance(content, StorageDamage):
            return content
        self._remove_incomplete_writes(content)
        for name in self.files.list_files():
            self.files.sync(name)
        self.files.sync_folder()
        generation = content.generation
        if generation is None:
            generation = self.make_generation()
            self._replace_file(IDENTITY_FILE, FolderIdentity(generation))
        self.segments = content.segments
        self.snapshot_file = content.snapshot_file
        return RecoveredState(
            generation, content.hard_state, content.snapshot, content.entries, content.commit_index
        )

    def _remove_incomplete_writes(self, content: FolderContent) -> None:
        """Remove what an interrupted write left behind."""
        if content.torn_segment is not None:
            self.files.truncate(content.torn_segment.name, content.torn_segment.size)
            self.files.sync(content.torn_segment.name)
        for name in content.obsolete_files:
            self.files.remove(name)
            self.files.sync_folder()

    def write(self, persist: Persist) -> None:
        """Carry out one write; on return it is synced, file and folder.

        Raises
        ------
        OSError
            If the disk fails. The process must stop: what is on the disk is not known any more.
        """
        if persist.hard_state is not None:
            self._replace_file(STATE_FILE, persist.hard_state)
        if persist.snapshot is not None:
            self._write_snapshot(persist.snapshot)
        if persist.discard_log:
            self._discard_log()
        if persist.entries:
            self._append_entries(persist.entries, persist.commit_index)
        if persist.snapshot is not None:
            self._remove_covered_segments(persist.snapshot.index)

    def _replace_file(self, name: str, record: Record) -> None:
        """Put a file with one frame in place; a crash leaves the old or the new one."""
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self.files.list_files():
            self.files.remove(temporary)
        self.files.append(temporary, encode_frame(pack_record(record)))
        self.files.sync(temporary)
        self.files.rename(temporary, name)
        self.files.sync_folder()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        name = snapshot_file_name(snapshot.index)
        self._replace_file(name, snapshot)
        if self.snapshot_file is not None and self.snapshot_file != name:
            self.files.remove(self.snapshot_file)
            self.files.sync_folder()
        self.snapshot_file = name

    def _append_entries(self, entries: tuple[Entry, ...], commit_index: LogIndex) -> None:
        frame = encode_frame(pack_record(LogFrame(commit_index, entries)))
        is_new = not self.segments or self.segments[-1].size >= self.segment_bytes
        if is_new:
            number = self.segments[-1].number + 1 if self.segments else 1
            self.segments.append(Segment(segment_file_name(number), number))
        segment = self.segments[-1]
        self.files.append(segment.name, frame)
        self.files.sync(segment.name)
        if is_new:
            self.files.sync_folder()
        segment.size += len(frame)
        segment.last_index = max(segment.last_index, entries[-1].index)

    def _discard_log(self) -> None:
        """Remove all segments, the newest first, so that a crash leaves a log without holes."""
        while self.segments:
            self._remove_segment(self.segments[-1])
            self.segments.pop()

    def _remove_covered_segments(self, index: LogIndex) -> None:
        """Remove the oldest segments whose entries the snapshot covers, except the newest one."""
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            self._remove_segment(self.segments[0])
            self.segments.pop(0)

    def _remove_segment(self, segment: Segment) -> None:
        self.files.remove(segment.name)
        self.files.sync_folder()
