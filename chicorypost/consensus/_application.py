"""Handing committed entries to the application, in order."""

from chicorypost.base import LogIndex
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, format_members
from chicorypost.consensus._interface import Apply, ProposalAccepted, ReplicaRole, RestoreSnapshot
from chicorypost.consensus._records import Entry, EntryKind
from chicorypost.consensus._snapshots import request_snapshot_if_due


def apply_committed(core: ReplicaCore) -> None:
    """Apply what is committed and synced here, so that a restart never goes back behind it."""
    restored = core.pending_restore
    if restored is not None:
        if core.write_queue.durable_index < restored.index:
            return
        core.pending_restore = None
        core.applied_index = restored.index
        core.effects.append(RestoreSnapshot(restored.index, restored.data))
    limit = min(core.commit_index, core.write_queue.durable_index)
    while core.applied_index < limit:
        core.applied_index = LogIndex(core.applied_index + 1)
        _apply_entry(core, core.log.entry_at(core.applied_index))
    request_snapshot_if_due(core)


def _apply_entry(core: ReplicaCore, entry: Entry) -> None:
    match entry.kind:
        case EntryKind.COMMAND:
            core.effects.append(Apply(entry.index, entry.term, entry.command))
        case EntryKind.MEMBERSHIP:
            _record_committed_membership(core, entry)
        case EntryKind.NO_OPERATION:
            pass
    proposals = core.leadership.pending_proposals if core.leadership else {}
    proposal = proposals.pop(entry.index, None)
    if proposal is not None:
        core.effects.append(ProposalAccepted(proposal, entry.index))
    leads_removed = core.role is ReplicaRole.LEADER and not core.is_voter
    if leads_removed and core.log.membership_index <= entry.index:
        core.step_down(core.term)


def _record_committed_membership(core: ReplicaCore, entry: Entry) -> None:
    membership = core.log.membership_at(entry.index)
    for member in membership.members:
        if core.waiting_members.get(member.instance) == member.generation:
            del core.waiting_members[member.instance]
    changed = _events.MEMBERSHIP_CHANGED.emit(
        index=entry.index,
        voters=format_members(membership.voters),
        learners=format_members(membership.learners),
    )
    core.effects.append(changed)
