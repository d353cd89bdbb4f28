"""Handing committed entries to the application, in order."""

from chicorypost.base import LogIndex
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, describe_members
from chicorypost.consensus._interface import Apply, ProposalAccepted, RestoreSnapshot, Role
from chicorypost.consensus._records import Entry, EntryKind
from chicorypost.consensus._snapshots import ask_for_snapshot


def advance_applied(core: ReplicaCore) -> None:
    """Apply what is committed and synced here, so that a restart never goes back behind it."""
    restored = core.pending_restore
    if restored is not None:
        if core.writes.durable_index < restored.index:
            return
        core.pending_restore = None
        core.applied_index = restored.index
        core.effects.append(RestoreSnapshot(restored.index, restored.data))
    limit = min(core.commit_index, core.writes.durable_index)
    while core.applied_index < limit:
        core.applied_index = LogIndex(core.applied_index + 1)
        _apply_entry(core, core.log.entry_at(core.applied_index))
    ask_for_snapshot(core)


def _apply_entry(core: ReplicaCore, entry: Entry) -> None:
    match entry.kind:
        case EntryKind.COMMAND:
            core.effects.append(Apply(entry.index, entry.term, entry.command))
        case EntryKind.MEMBERSHIP:
            _note_membership(core, entry)
        case EntryKind.NO_OPERATION:
            pass
    proposals = core.leadership.proposals if core.leadership else {}
    proposal = proposals.pop(entry.index, None)
    if proposal is not None:
        core.effects.append(ProposalAccepted(proposal, entry.index))
    leads_removed = core.role is Role.LEADER and not core.is_voter
    if leads_removed and core.log.membership_index <= entry.index:
        core.step_down(core.term)


def _note_membership(core: ReplicaCore, entry: Entry) -> None:
    membership = core.log.membership_at(entry.index)
    for member in membership.members:
        if core.waiting.get(member.instance) == member.generation:
            del core.waiting[member.instance]
    changed = _events.MEMBERSHIP_CHANGED.emit(
        index=entry.index,
        voters=describe_members(membership.voters),
        learners=describe_members(membership.learners),
    )
    core.effects.append(changed)
