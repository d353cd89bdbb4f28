"""Proposals at the leader: size and queue limits, refusals and the append to the log."""

from chicorypost.base import pack_record
from chicorypost.consensus._core import ReplicaCore
from chicorypost.consensus._interface import (
    ChangeMembership,
    ProposalRefusalReason,
    ProposalRefused,
    Propose,
)
from chicorypost.consensus._membership import plan_change
from chicorypost.consensus._records import ClusterMembership, EntryKind
from chicorypost.consensus._replication import append_entry


def propose(core: ReplicaCore, event: Propose) -> None:
    """Append a command to the log, or refuse it."""
    refusal = _find_refusal(core, event.proposal_id)
    size, allowed = len(event.command), core.settings.max_command_bytes
    if refusal is None and size > allowed:
        detail = f"command has {size} bytes, at most {allowed} are allowed"
        refusal = ProposalRefused(
            event.proposal_id, ProposalRefusalReason.TOO_LARGE, core.leader, detail
        )
    if refusal is not None:
        core.effects.append(refusal)
        return
    _append_proposal(core, event.proposal_id, EntryKind.COMMAND, event.command)


def change_membership(core: ReplicaCore, event: ChangeMembership) -> None:
    """Append a new membership to the log, or refuse the change."""
    refusal = _find_refusal(core, event.proposal_id)
    if refusal is not None:
        core.effects.append(refusal)
        return
    planned = plan_change(core, event.change)
    if not isinstance(planned, ClusterMembership):
        reason, detail = planned
        core.effects.append(ProposalRefused(event.proposal_id, reason, core.leader, detail))
        return
    _append_proposal(core, event.proposal_id, EntryKind.MEMBERSHIP, pack_record(planned))


def _find_refusal(core: ReplicaCore, proposal: str) -> ProposalRefused | None:
    if core.leadership is None:
        return ProposalRefused(proposal, core.refusal_reason(), core.leader)
    in_flight, allowed = (
        len(core.leadership.pending_proposals),
        core.settings.max_proposals_in_flight,
    )
    if in_flight >= allowed:
        detail = f"{in_flight} proposals are in flight, at most {allowed} are allowed"
        return ProposalRefused(proposal, ProposalRefusalReason.OVERLOADED, core.leader, detail)
    return None


def _append_proposal(core: ReplicaCore, proposal: str, kind: EntryKind, command: bytes) -> None:
    leadership = core.leadership
    assert leadership is not None
    index = append_entry(core, kind, command)
    leadership.pending_proposals[index] = proposal
