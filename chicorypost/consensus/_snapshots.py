"""Snapshots: taking them, compacting the log, and transferring them in chunks."""

from chicorypost.base import InstanceId, LogIndex
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, ReplicationProgress, SnapshotTransfer
from chicorypost.consensus._interface import SnapshotTaken, TakeSnapshot
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import SnapshotChunk, SnapshotReply
from chicorypost.consensus._records import NO_INDEX, Snapshot


def request_snapshot_if_due(core: ReplicaCore) -> None:
    """Request a snapshot once enough entries have been applied since the last one."""
    last = core.snapshot.index if core.snapshot else NO_INDEX
    is_due = core.applied_index - last >= core.settings.snapshot_interval_records
    if is_due and not core.is_snapshot_requested:
        core.is_snapshot_requested = True
        core.effects.append(TakeSnapshot(core.applied_index))


def store_snapshot(core: ReplicaCore, taken: SnapshotTaken) -> None:
    """Store the application's state and compact the log, retaining entries for slow members."""
    core.is_snapshot_requested = False
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
    core.write_queue.snapshot = core.snapshot
    core.log.compact_through(LogIndex(taken.index - core.settings.trailing_records))
    core.effects.append(_events.SNAPSHOT_STORED.emit(index=taken.index, bytes=size))


def send_snapshot_chunk(core: ReplicaCore, progress: ReplicationProgress, sequence: int) -> None:
    """Send the next chunk of the newest snapshot to a member that lacks compacted entries."""
    snapshot = core.base_snapshot()
    offset = min(progress.snapshot_offset, len(snapshot.data))
    data = snapshot.data[offset : offset + core.settings.snapshot_chunk_bytes]
    message = SnapshotChunk(
        *core.make_header(progress.member.generation),
        sequence,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        offset,
        len(snapshot.data),
        data,
    )
    core.send(progress.member.instance, message)


def handle_snapshot_chunk(core: ReplicaCore, sender: InstanceId, message: SnapshotChunk) -> None:
    """Store a chunk of the leader's snapshot; install the snapshot when it is complete."""
    if message.term < core.term:
        _reply(core, sender, message, 0)
        return
    core.step_down(message.term)
    core.record_leader_contact(sender)
    if core.log.term_at(message.index) == message.index_term:
        # The log contains the snapshot's entries; later ones may be acknowledged and must stay.
        core.commit_index = max(core.commit_index, message.index)
    if message.index <= core.commit_index:
        core.snapshot_transfer = None
        _reply(core, sender, message, message.total_bytes)
        return
    if message.total_bytes > core.settings.max_snapshot_bytes:
        return
    transfer = _current_transfer(core, message)
    if message.offset == len(transfer.data):
        transfer.data.extend(message.data)
    received = len(transfer.data)
    if received >= message.total_bytes:
        _install_snapshot(core, message, bytes(transfer.data))
        core.set_role(core.passive_role(), sender)
    _reply(core, sender, message, received)


def _current_transfer(core: ReplicaCore, message: SnapshotChunk) -> SnapshotTransfer:
    transfer = core.snapshot_transfer
    if transfer is None or (transfer.index, transfer.term) != (message.index, message.index_term):
        transfer = SnapshotTransfer(message.index, message.index_term)
        core.snapshot_transfer = transfer
    return transfer


def _install_snapshot(core: ReplicaCore, message: SnapshotChunk, data: bytes) -> None:
    """Replace the log and the application's state with the snapshot."""
    core.snapshot_transfer = None
    snapshot = Snapshot(message.index, message.index_term, message.membership, data)
    core.snapshot = snapshot
    core.log = Log(snapshot)
    core.commit_index = snapshot.index
    core.pending_restore = snapshot
    core.is_snapshot_requested = False
    core.write_queue.entries = []
    core.write_queue.limit_durable_index(NO_INDEX)
    core.write_queue.snapshot = snapshot
    core.write_queue.discard_log = True


def _reply(core: ReplicaCore, sender: InstanceId, request: SnapshotChunk, offset: int) -> None:
    header = core.make_header(request.source_generation)
    reply = SnapshotReply(*header, request.sequence, request.index, offset)
    core.send_when_synced(sender, reply)


def record_snapshot_reply(
    core: ReplicaCore, progress: ReplicationProgress, message: SnapshotReply
) -> None:
    """Record how much of the snapshot a member has; after all of it, send entries again."""
    snapshot = core.base_snapshot()
    if progress.awaited_sequence == message.sequence:
        progress.awaited_sequence = 0
    if message.index != snapshot.index:
        progress.snapshot_offset = 0
        return
    progress.snapshot_offset = message.offset
    if message.offset >= len(snapshot.data):
        progress.snapshot_offset = 0
        progress.match_index = max(progress.match_index, snapshot.index)
        progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
