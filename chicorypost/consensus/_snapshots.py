"""Snapshots: taking them, trimming the log, and sending them in chunks."""

from chicorypost.base import InstanceId, LogIndex
from chicorypost.consensus import _events
from chicorypost.consensus._core import Progress, ReplicaCore, SnapshotTransfer
from chicorypost.consensus._interface import SnapshotTaken, TakeSnapshot
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import SnapshotChunk, SnapshotReply
from chicorypost.consensus._records import NO_INDEX, Snapshot


def ask_for_snapshot(core: ReplicaCore) -> None:
    """Ask the application for its state once enough entries have been applied since the last."""
    last = core.snapshot.index if core.snapshot else NO_INDEX
    is_due = core.applied_index - last >= core.settings.snapshot_interval_records
    if is_due and not core.snapshot_asked:
        core.snapshot_asked = True
        core.effects.append(TakeSnapshot(core.applied_index))


def store_snapshot(core: ReplicaCore, taken: SnapshotTaken) -> None:
    """Store the application's state and trim the log, keeping some entries for slow members."""
    core.snapshot_asked = False
    size = len(taken.data)
    if size > core.settings.max_snapshot_bytes:
        core.effects.append(_events.SNAPSHOT_TOO_LARGE.emit(index=taken.index, bytes=size))
        return
    if core.snapshot is not None and taken.index <= core.snapshot.index:
        return
    term = core.log.term_at(taken.index)
    assert term is not None
    membership = core.log.membership_at(taken.index)
    core.snapshot = Snapshot(taken.index, term, membership, taken.data)
    core.writes.snapshot = core.snapshot
    core.log.drop_until(LogIndex(taken.index - core.settings.trailing_records))
    core.effects.append(_events.SNAPSHOT_STORED.emit(index=taken.index, bytes=size))


def send_chunk(core: ReplicaCore, progress: Progress, sequence: int) -> None:
    """Send the next part of the newest snapshot to a member that lacks trimmed entries."""
    snapshot = core.base_snapshot()
    offset = min(progress.snapshot_offset, len(snapshot.data))
    data = snapshot.data[offset : offset + core.settings.snapshot_chunk_bytes]
    message = SnapshotChunk(
        *core.header(progress.member.generation),
        sequence,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        offset,
        len(snapshot.data),
        data,
    )
    core.send(progress.member.instance, message)


def handle_chunk(core: ReplicaCore, sender: InstanceId, message: SnapshotChunk) -> None:
    """Take a part of the leader's snapshot; install it when it is whole."""
    if message.term < core.term:
        _reply(core, sender, message, 0)
        return
    core.step_down(message.term)
    core.hear_leader(sender)
    if core.log.term_at(message.index) == message.index_term:
        # The log holds the snapshot's entries; those after it may be vouched for and must stay.
        core.commit_index = max(core.commit_index, message.index)
    if message.index <= core.commit_index:
        core.receiving = None
        _reply(core, sender, message, message.total)
        return
    if message.total > core.settings.max_snapshot_bytes:
        return
    transfer = _current_transfer(core, message)
    if message.offset == len(transfer.data):
        transfer.data.extend(message.data)
    received = len(transfer.data)
    if received >= message.total:
        _install(core, message, bytes(transfer.data))
        core.set_role(core.passive_role(), sender)
    _reply(core, sender, message, received)


def _current_transfer(core: ReplicaCore, message: SnapshotChunk) -> SnapshotTransfer:
    transfer = core.receiving
    if transfer is None or (transfer.index, transfer.term) != (message.index, message.index_term):
        transfer = SnapshotTransfer(message.index, message.index_term)
        core.receiving = transfer
    return transfer


def _install(core: ReplicaCore, message: SnapshotChunk, data: bytes) -> None:
    """Replace log and state by the snapshot."""
    core.receiving = None
    snapshot = Snapshot(message.index, message.index_term, message.membership, data)
    core.snapshot = snapshot
    core.log = Log(snapshot)
    core.commit_index = snapshot.index
    core.pending_restore = snapshot
    core.snapshot_asked = False
    core.writes.entries = []
    core.writes.limit_durable(NO_INDEX)
    core.writes.snapshot = snapshot
    core.writes.discard_log = True


def _reply(core: ReplicaCore, sender: InstanceId, request: SnapshotChunk, offset: int) -> None:
    header = core.header(request.source)
    reply = SnapshotReply(*header, request.sequence, request.index, offset)
    core.send_when_synced(sender, reply)


def note_chunk_answer(core: ReplicaCore, progress: Progress, message: SnapshotReply) -> None:
    """Note how much of the snapshot a member has; after the whole it gets entries again."""
    snapshot = core.base_snapshot()
    if progress.awaiting == message.sequence:
        progress.awaiting = 0
    if message.index != snapshot.index:
        progress.snapshot_offset = 0
        return
    progress.snapshot_offset = message.offset
    if message.offset >= len(snapshot.data):
        progress.snapshot_offset = 0
        progress.match_index = max(progress.match_index, snapshot.index)
        progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
