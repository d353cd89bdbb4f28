"""Reading a data folder: what is whole, what a crash has torn, and what is damaged."""

import re
from typing import TypeVar

import msgspec

from chicorypost.base import LogIndex, Record, unpack_record
from chicorypost.consensus._files import FileSystem
from chicorypost.consensus._frames import scan_frames
from chicorypost.consensus._interface import DamageKind, StorageDamage
from chicorypost.consensus._records import (
    INITIAL_HARD_STATE,
    NO_INDEX,
    NO_TERM,
    Entry,
    HardState,
    Snapshot,
)

IDENTITY_FILE = "identity"
STATE_FILE = "state"
TEMPORARY_SUFFIX = ".tmp"
LOG_AND_SNAPSHOT_PREFIXES = ("log-", "snapshot-")
_SEGMENT_NAME = re.compile(r"log-(\d{20})")
_SNAPSHOT_NAME = re.compile(r"snapshot-(\d{20})")

RecordType = TypeVar("RecordType", bound=Record)


class FolderIdentity(Record, frozen=True, array_like=True):
    """Content of the identity file."""

    generation: str


class LogFrame(Record, frozen=True, array_like=True):
    """Content of one frame of a segment."""

    commit_index: LogIndex
    entries: tuple[Entry, ...]


class Segment(msgspec.Struct):
    """One file of the log."""

    name: str
    number: int
    size: int = 0
    last_index: LogIndex = NO_INDEX


class FolderContent(msgspec.Struct):
    """What a data folder holds.

    `torn` is the segment with an interrupted last write, its size that of the whole frames.
    `leftovers` are files to remove.
    """

    generation: str | None = None
    hard_state: HardState = INITIAL_HARD_STATE
    snapshot: Snapshot | None = None
    snapshot_file: str | None = None
    entries: tuple[Entry, ...] = ()
    commit_index: LogIndex = NO_INDEX
    segments: list[Segment] = msgspec.field(default_factory=list)
    torn_segment: Segment | None = None
    obsolete_files: list[str] = msgspec.field(default_factory=list)


def segment_file_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"log-{number:020d}"


def snapshot_file_name(index: LogIndex) -> str:
    """Return the file name of a snapshot."""
    return f"snapshot-{index:020d}"


def read_folder(files: FileSystem) -> FolderContent | StorageDamage:
    """Read all files of a data folder without changing them."""
    names = files.list_files()
    content = FolderContent()
    content.obsolete_files = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
    for step in (_read_identity, _read_state, _read_snapshot, _read_log):
        damage = step(files, names, content)
        if damage is not None:
            return damage
    return _reconcile_log_and_snapshot(content)


def _read_identity(
    files: FileSystem, names: list[str], content: FolderContent
) -> StorageDamage | None:
    if IDENTITY_FILE in names:
        identity = _read_record_file(files, IDENTITY_FILE, FolderIdentity)
        if isinstance(identity, StorageDamage):
            return identity
        content.generation = identity.generation
        return None
    others = [name for name in names if not name.endswith(TEMPORARY_SUFFIX)]
    return _missing_file(IDENTITY_FILE, others) if others else None


def _read_state(
    files: FileSystem, names: list[str], content: FolderContent
) -> StorageDamage | None:
    if STATE_FILE not in names:
        history = [name for name in names if name.startswith(LOG_AND_SNAPSHOT_PREFIXES)]
        return _missing_file(STATE_FILE, history) if history else None
    state = _read_record_file(files, STATE_FILE, HardState)
    if isinstance(state, StorageDamage):
        return state
    content.hard_state = state
    return None


def _read_snapshot(
    files: FileSystem, names: list[str], content: FolderContent
) -> StorageDamage | None:
    found = [name for name in names if _SNAPSHOT_NAME.fullmatch(name)]
    if not found:
        return None
    newest = found[-1]
    snapshot = _read_record_file(files, newest, Snapshot)
    if isinstance(snapshot, StorageDamage):
        return snapshot
    content.snapshot = snapshot
    content.snapshot_file = newest
    content.obsolete_files.extend(found[:-1])
    return None


def _read_log(files: FileSystem, names: list[str], content: FolderContent) -> StorageDamage | None:
    found = [name for name in names if _SEGMENT_NAME.fullmatch(name)]
    entries: list[Entry] = []
    for name in found:
        segment = Segment(name, int(name.removeprefix("log-")))
        data = files.read(name)
        scan = scan_frames(data)
        segment.size = scan.valid_bytes
        content.segments.append(segment)
        if scan.valid_bytes < len(data):
            if scan.has_frame_after_damage or name != found[-1]:
                return _unreadable_file(name, scan.valid_bytes)
            content.torn_segment = segment
        for payload in scan.payloads:
            damage = _add_frame(segment, payload, entries, content)
            if damage is not None:
                return damage
    content.entries = tuple(entries)
    return None


def _add_frame(
    segment: Segment, payload: bytes, entries: list[Entry], content: FolderContent
) -> StorageDamage | None:
    try:
        frame = unpack_record(payload, LogFrame)
    except ValueError as error:
        return StorageDamage(DamageKind.UNREADABLE, segment.name, str(error))
    for entry in frame.entries:
        if entries and entry.index <= entries[0].index:
            entries.clear()
        elif entries and entry.index <= entries[-1].index:
            del entries[entry.index - entries[0].index :]
        if entries and entry.index != entries[-1].index + 1:
            detail = f"entry {entry.index} follows entry {entries[-1].index}"
            return StorageDamage(DamageKind.GAP, segment.name, detail)
        entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)
    content.commit_index = max(content.commit_index, frame.commit_index)
    return None


def _reconcile_log_and_snapshot(content: FolderContent) -> FolderContent | StorageDamage:
    """Drop entries that the snapshot covers; check that log and snapshot meet."""
    index = content.snapshot.index if content.snapshot else NO_INDEX
    term = content.snapshot.term if content.snapshot else NO_TERM
    entries = content.entries
    if entries and entries[0].index > index + 1:
        detail = f"the log starts at entry {entries[0].index}, the snapshot ends at {index}"
        return StorageDamage(DamageKind.GAP, content.segments[0].name, detail)
    at_snapshot = next((entry for entry in entries if entry.index == index), None)
    is_older = bool(entries) and entries[-1].index < index
    if is_older or (at_snapshot is not None and at_snapshot.term != term):
        # A snapshot from the leader replaced this log, and a crash came before its removal.
        content.obsolete_files.extend(segment.name for segment in reversed(content.segments))
        content.segments = []
        content.torn_segment = None
        entries = ()
    content.entries = tuple(entry for entry in entries if entry.index > index)
    last = content.entries[-1].index if content.entries else index
    content.commit_index = max(index, min(content.commit_index, last))
    return content


def _read_record_file(
    files: FileSystem, name: str, kind: type[RecordType]
) -> RecordType | StorageDamage:
    data = files.read(name)
    scan = scan_frames(data)
    if len(scan.payloads) != 1 or scan.valid_bytes != len(data):
        return _unreadable_file(name, scan.valid_bytes)
    try:
        return unpack_record(scan.payloads[0], kind)
    except ValueError as error:
        return StorageDamage(DamageKind.UNREADABLE, name, str(error))


def _missing_file(name: str, others: list[str]) -> StorageDamage:
    detail = f"there is no file {name}, but there are {', '.join(others)}"
    return StorageDamage(DamageKind.MISSING_FILE, name, detail)


def _unreadable_file(name: str, position: int) -> StorageDamage:
    detail = f"damaged at byte {position}, and not by an interrupted write"
    return StorageDamage(DamageKind.UNREADABLE, name, detail)
