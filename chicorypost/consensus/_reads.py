"""Linearizable reads: the leader confirms its term with a quorum before it answers."""

from chicorypost.consensus._core import PendingRead, ReplicaCore, quorum_value
from chicorypost.consensus._interface import ProposalRefusalReason, Read, ReadReady, ReadRefused
from chicorypost.consensus._replication import send_heartbeats


def queue_read(core: ReplicaCore, event: Read) -> None:
    """Queue a read, or refuse it."""
    leadership = core.leadership
    if leadership is None:
        refused = ReadRefused(event.read_id, core.refusal_reason(), core.leader)
        core.effects.append(refused)
        return
    if len(leadership.pending_reads) >= core.settings.max_reads_in_flight:
        leader = core.identity.instance
        core.effects.append(ReadRefused(event.read_id, ProposalRefusalReason.OVERLOADED, leader))
        return
    leadership.pending_reads.append(PendingRead(event.read_id))


def advance_reads(core: ReplicaCore) -> None:
    """Answer reads that a quorum has confirmed; start the next round of confirmation."""
    leadership = core.leadership
    if leadership is None or not leadership.pending_reads:
        return
    _complete_confirmed_reads(core)
    is_under_way = any(read.sequence for read in leadership.pending_reads)
    if is_under_way or core.commit_index < leadership.first_index:
        return
    for read in leadership.pending_reads:
        read.index = core.commit_index
        read.sequence = leadership.last_sequence + 1
    if leadership.pending_reads:
        send_heartbeats(core)
        _complete_confirmed_reads(core)


def _complete_confirmed_reads(core: ReplicaCore) -> None:
    leadership = core.leadership
    assert leadership is not None
    answered = {key: peer.acknowledged_sequence for key, peer in leadership.progress.items()}
    answered[core.identity.generation] = leadership.last_sequence + 1
    confirmed = quorum_value(core.log.membership, answered)
    still_waiting = []
    for read in leadership.pending_reads:
        is_confirmed = 0 < read.sequence <= confirmed
        if is_confirmed and core.applied_index >= read.index:
            core.effects.append(ReadReady(read.read_id, read.index))
        else:
            still_waiting.append(read)
    leadership.pending_reads = still_waiting
