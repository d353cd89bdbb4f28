"""The state of a replica as values that JSON can hold."""

from typing import Any

from chicorypost.consensus._core import Leadership, ReplicaCore
from chicorypost.consensus._records import MemberId


def dump_replica(core: ReplicaCore) -> dict[str, Any]:
    """Return the whole decision state of a replica."""
    return {
        "instance": core.identity.instance,
        "generation": core.identity.generation,
        "cluster": core.hard_state.cluster,
        "role": core.role.value,
        "term": core.term,
        "vote": core.hard_state.vote,
        "leader": core.leader,
        "out_of_touch_since": core.out_of_touch_since,
        "leader_contact": core.last_leader_contact,
        "last_contact": dict(core.last_contact),
        "waiting_members": dict(core.waiting_members),
        "foreign_messages": core.foreign_messages,
        "voters": _dump_members(core.log.membership.voters),
        "learners": _dump_members(core.log.membership.learners),
        "log": _dump_log(core),
        "leadership": _dump_leadership(core.leadership),
    }


def _dump_members(members: tuple[MemberId, ...]) -> list[dict[str, str]]:
    return [{"instance": item.instance, "generation": item.generation} for item in members]


def _dump_log(core: ReplicaCore) -> dict[str, Any]:
    return {
        "base_index": core.log.base_index,
        "last_index": core.log.last_index,
        "last_term": core.log.last_term,
        "commit_index": core.commit_index,
        "applied_index": core.applied_index,
        "durable_index": core.write_queue.durable_index,
        "snapshot_index": core.snapshot.index if core.snapshot else 0,
        "writes_issued": core.write_queue.last_issued,
        "writes_persisted": core.write_queue.last_persisted,
        "effects_held": len(core.write_queue.held_effects),
        "receiving_snapshot": core.snapshot_transfer.index if core.snapshot_transfer else None,
    }


def _dump_leadership(leadership: Leadership | None) -> dict[str, Any] | None:
    if leadership is None:
        return None
    peers = {
        generation: {
            "instance": peer.member.instance,
            "match_index": peer.match_index,
            "next_index": peer.next_index,
            "last_contact": peer.last_contact,
            "silent": peer.is_silent,
        }
        for generation, peer in leadership.progress.items()
    }
    silent = sorted(peer.member.instance for peer in leadership.progress.values() if peer.is_silent)
    return {
        "first_index": leadership.first_index,
        "proposals_in_flight": len(leadership.pending_proposals),
        "reads_in_flight": len(leadership.pending_reads),
        "silent_members": silent,
        "peers": peers,
    }
