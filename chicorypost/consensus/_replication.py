"""Replication: the leader's appends, the replies of the other members and the commit rule."""

from chicorypost.base import InstanceId, Instant, LogIndex
from chicorypost.consensus import _events
from chicorypost.consensus._core import Leadership, ReplicaCore, ReplicationProgress, quorum_value
from chicorypost.consensus._interface import ReplicaRole
from chicorypost.consensus._messages import AppendReply, AppendRequest
from chicorypost.consensus._records import Entry, EntryKind
from chicorypost.consensus._snapshots import send_snapshot_chunk


def become_leader(core: ReplicaCore) -> None:
    """Become leader: append an entry of the new term and send it to all members."""
    first_index = LogIndex(core.log.last_index + 1)
    core.leadership = Leadership(first_index, next_heartbeat_deadline(core))
    core.set_role(ReplicaRole.LEADER, core.identity.instance)
    _reset_leader_contact(core)
    append_entry(core, EntryKind.NO_OPERATION, b"")


def _reset_leader_contact(core: ReplicaCore) -> None:
    core.has_known_leader = True
    core.last_leader_contact = core.now
    if core.out_of_touch_since is not None:
        core.out_of_touch_since = None
        core.effects.append(_events.LEADER_CONTACT_RESTORED.emit(leader=core.identity.instance))


def next_heartbeat_deadline(core: ReplicaCore) -> Instant:
    """Return the time of the next heartbeat."""
    return Instant(core.now + core.settings.heartbeat_seconds)


def append_entry(core: ReplicaCore, kind: EntryKind, command: bytes) -> LogIndex:
    """Append an entry of the current term to the leader's log and send it."""
    entry = Entry(LogIndex(core.log.last_index + 1), core.term, kind, command)
    core.log.append((entry,))
    core.write_queue.stage_entries((entry,))
    update_tracked_members(core)
    send_pending_appends(core)
    return entry.index


def update_tracked_members(core: ReplicaCore) -> None:
    """Track the progress of exactly the other members of the latest membership."""
    leadership = core.leadership
    assert leadership is not None
    others = {
        member.generation: member
        for member in core.log.membership.members
        if member != core.identity
    }
    for generation in set(leadership.progress) - set(others):
        del leadership.progress[generation]
    for generation, member in others.items():
        if generation not in leadership.progress:
            next_index = LogIndex(core.log.last_index)
            leadership.progress[generation] = ReplicationProgress(member, next_index, core.now)


def send_pending_appends(core: ReplicaCore) -> None:
    """Send entries or a new commit index to each member without a request in flight."""
    leadership = core.leadership
    if leadership is None:
        return
    for progress in leadership.progress.values():
        has_new_entries = progress.next_index <= core.log.last_index
        if progress.awaited_sequence == 0 and (
            has_new_entries or progress.sent_commit_index < core.commit_index
        ):
            send_append(core, progress)


def send_heartbeats(core: ReplicaCore) -> None:
    """Send to every member; a request still in flight counts as lost and is repeated."""
    leadership = core.leadership
    assert leadership is not None
    leadership.heartbeat_deadline = next_heartbeat_deadline(core)
    for progress in leadership.progress.values():
        send_append(core, progress)


def send_append(core: ReplicaCore, progress: ReplicationProgress) -> None:
    """Send the entries that a member lacks, or a snapshot chunk if they are compacted."""
    leadership = core.leadership
    assert leadership is not None
    leadership.last_sequence += 1
    progress.awaited_sequence = leadership.last_sequence
    previous_index = LogIndex(progress.next_index - 1)
    previous_term = core.log.term_at(previous_index)
    if previous_term is None:
        send_snapshot_chunk(core, progress, leadership.last_sequence)
        return
    entries = core.log.read_from(progress.next_index, core.settings.max_append_bytes)
    progress.sent_commit_index = core.commit_index
    message = AppendRequest(
        *core.make_header(progress.member.generation),
        leadership.last_sequence,
        previous_index,
        previous_term,
        entries,
        core.commit_index,
    )
    core.send(progress.member.instance, message)


def send_append_if_idle(core: ReplicaCore, progress: ReplicationProgress) -> None:
    """Send the entries that a member lacks, unless a request to it is in flight."""
    if progress.awaited_sequence == 0:
        send_append(core, progress)


def handle_append_request(core: ReplicaCore, sender: InstanceId, message: AppendRequest) -> None:
    """Store entries from the leader of the current term, or reply where the logs differ."""
    if message.term < core.term:
        _reply(core, sender, message, matched=False, index=core.log.last_index)
        return
    if message.term > core.term or core.role in (ReplicaRole.CANDIDATE, ReplicaRole.PRE_CANDIDATE):
        core.step_down(message.term)
    assert core.role is not ReplicaRole.LEADER
    core.record_leader_contact(sender)
    previous_term = core.log.term_at(message.previous_index)
    if message.previous_index < core.log.base_index or previous_term == message.previous_term:
        _store_missing_entries(core, message.entries)
        matched_index = LogIndex(message.previous_index + len(message.entries))
        known_commit = min(message.commit_index, matched_index)
        core.commit_index = max(core.commit_index, known_commit)
        core.set_role(core.passive_role(), sender)
        _reply(core, sender, message, matched=True, index=matched_index)
    elif previous_term is None:
        _reply(core, sender, message, matched=False, index=core.log.last_index)
    else:
        hint = core.log.last_index_of_lower_term(message.previous_index)
        _reply(core, sender, message, matched=False, index=hint)


def _store_missing_entries(core: ReplicaCore, entries: tuple[Entry, ...]) -> None:
    """Append the entries that this log lacks; committed entries are never replaced."""
    for position, entry in enumerate(entries):
        if entry.index <= core.log.base_index:
            continue
        if core.log.term_at(entry.index) != entry.term:
            assert entry.index > core.commit_index, "a committed entry would be replaced"
            core.log.append(entries[position:])
            core.write_queue.stage_entries(entries[position:])
            return


def _reply(
    core: ReplicaCore, sender: InstanceId, request: AppendRequest, matched: bool, index: LogIndex
) -> None:
    header = core.make_header(request.source_generation)
    reply = AppendReply(*header, request.sequence, matched, index)
    core.send_when_synced(sender, reply)


def handle_append_reply(core: ReplicaCore, message: AppendReply) -> None:
    """Update the progress of a member and send it the entries that it lacks."""
    progress = record_reply(core, message.source_generation, message.sequence)
    if progress is None:
        return
    if message.matched:
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(progress.next_index, LogIndex(progress.match_index + 1))
        advance_commit_index(core)
    elif progress.awaited_sequence == message.sequence:
        lower = min(progress.next_index - 1, message.index + 1)
        progress.next_index = LogIndex(max(lower, progress.match_index + 1))
    if progress.awaited_sequence == message.sequence:
        progress.awaited_sequence = 0
    send_pending_appends(core)
    if not message.matched:
        send_append_if_idle(core, progress)


def record_reply(core: ReplicaCore, source: str, sequence: int) -> ReplicationProgress | None:
    """Record a reply in this term; return the sender's progress, or None if not a member."""
    leadership = core.leadership
    progress = leadership.progress.get(source) if leadership else None
    if progress is None:
        return None
    progress.acknowledged_sequence = max(progress.acknowledged_sequence, sequence)
    progress.last_contact = core.now
    if progress.is_silent:
        progress.is_silent = False
        core.effects.append(_events.MEMBER_CONTACT_RESTORED.emit(member=progress.member.instance))
    return progress


def advance_commit_index(core: ReplicaCore) -> None:
    """Commit the entries that a quorum has synced, up to an entry of the current term.

    A later leader may replace an entry of an older term even if a quorum has synced it. It is
    committed only once a quorum has synced a later entry of the current term.
    """
    leadership = core.leadership
    if leadership is None:
        return
    synced = {key: peer.match_index for key, peer in leadership.progress.items()}
    synced[core.identity.generation] = core.write_queue.durable_index
    index = LogIndex(int(quorum_value(core.log.membership, synced)))
    if index > core.commit_index and core.log.term_at(index) == core.term:
        core.commit_index = index


def last_quorum_contact(core: ReplicaCore) -> Instant:
    """Return the latest time since which a quorum has replied to this leader."""
    leadership = core.leadership
    assert leadership is not None
    contacts: dict[str, float] = {
        key: peer.last_contact for key, peer in leadership.progress.items()
    }
    contacts[core.identity.generation] = core.now
    return Instant(quorum_value(core.log.membership, contacts))


def check_quorum_contact(core: ReplicaCore) -> None:
    """Step down if no quorum has replied for the election timeout."""
    if core.leadership is None:
        return
    contact = last_quorum_contact(core)
    if core.now - contact < core.settings.election_seconds:
        core.last_leader_contact = contact
        return
    core.last_leader_contact = contact
    core.step_down(core.term)
    check_leader_contact(core)


def check_leader_contact(core: ReplicaCore) -> None:
    """Record that this replica is out of touch after an election timeout without a leader."""
    if core.leadership is not None or core.out_of_touch_since is not None:
        return
    if core.now >= core.leader_contact_deadline:
        core.out_of_touch_since = core.last_leader_contact
        core.set_role(core.role, None)
        core.effects.append(_events.LEADER_CONTACT_LOST.emit(term=core.term))


def check_member_contact(core: ReplicaCore) -> None:
    """Report members that have been silent for `silent_seconds`."""
    leadership = core.leadership
    assert leadership is not None
    for progress in leadership.progress.values():
        silence = core.now - progress.last_contact
        if not progress.is_silent and silence >= core.settings.silent_seconds:
            progress.is_silent = True
            core.effects.append(_events.MEMBER_CONTACT_LOST.emit(member=progress.member.instance))
