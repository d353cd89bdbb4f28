"""Linearizable reads: the leader confirms its term with a quorum before it answers."""

from chicorypost.consensus._core import PendingRead, ReplicaCore, quorum_value
from chicorypost.consensus._interface import Read, ReadReady, ReadRefused, RefusalReason
from chicorypost.consensus._replication import send_heartbeats


def register_read(core: ReplicaCore, event: Read) -> None:
    """Queue a read, or refuse it."""
    leadership = core.leadership
    if leadership is None:
        refused = ReadRefused(event.read, core.refusal_reason(), core.leader)
        core.effects.append(refused)
        return
    if len(leadership.reads) >= core.settings.max_reads_in_flight:
        leader = core.identity.instance
        core.effects.append(ReadRefused(event.read, RefusalReason.OVERLOADED, leader))
        return
    leadership.reads.append(PendingRead(event.read))


def advance_reads(core: ReplicaCore) -> None:
    """Answer reads that a quorum has confirmed; start the next round of confirmation."""
    leadership = core.leadership
    if leadership is None or not leadership.reads:
        return
    _answer_confirmed(core)
    is_under_way = any(read.sequence for read in leadership.reads)
    if is_under_way or core.commit_index < leadership.first_index:
        return
    for read in leadership.reads:
        read.index = core.commit_index
        read.sequence = leadership.sequence + 1
    if leadership.reads:
        send_heartbeats(core)
        _answer_confirmed(core)


def _answer_confirmed(core: ReplicaCore) -> None:
    leadership = core.leadership
    assert leadership is not None
    answered = {key: peer.acknowledged for key, peer in leadership.progress.items()}
    answered[core.identity.generation] = leadership.sequence + 1
    confirmed = quorum_value(core.log.membership, answered)
    still_waiting = []
    for read in leadership.reads:
        is_confirmed = 0 < read.sequence <= confirmed
        if is_confirmed and core.applied_index >= read.index:
            core.effects.append(ReadReady(read.read, read.index))
        else:
            still_waiting.append(read)
    leadership.reads = still_waiting
