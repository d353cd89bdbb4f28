"""Weighted, bounded placement of a service's slots on its upstreams with few moves."""

from collections.abc import Mapping, Sequence

from chicorypost.base import SlotNumber, UpstreamId, hash64


def plan_moves(
    assigned: Sequence[UpstreamId | None],
    defaults: Sequence[UpstreamId | None],
    weights: Mapping[UpstreamId, float],
) -> dict[SlotNumber, UpstreamId]:
    """Choose the slots to move so that each upstream holds its share.

    Parameters
    ----------
    assigned : sequence of UpstreamId or None
        The upstream that takes new flows of each slot now.
    defaults : sequence of UpstreamId or None
        The upstream that has the older flows of each slot; moving a slot back is preferred.
    weights : mapping of UpstreamId to float
        Relative capacity of each upstream that may take new flows.

    Returns
    -------
    dict of SlotNumber to UpstreamId
        The slots that change. No upstream ends with more than its share rounded up.

    Notes
    -----
    An upstream keeps as many of its slots as its quota allows, so only the difference moves.
    """
    usable = {name: weight for name, weight in weights.items() if weight > 0}
    if not usable:
        return {}
    quotas = _quotas(len(assigned), assigned, usable)
    free = _slots_to_move(assigned, defaults, quotas)
    return _assign_slots(free, assigned, defaults, quotas)


def _quotas(
    count: int, assigned: Sequence[UpstreamId | None], weights: Mapping[UpstreamId, float]
) -> dict[UpstreamId, int]:
    """Round shares by largest remainder; ties go to upstreams that hold more slots already."""
    total = sum(weights.values())
    shares = {name: count * weight / total for name, weight in weights.items()}
    quotas = {name: int(share) for name, share in shares.items()}
    held = dict.fromkeys(weights, 0)
    for name in assigned:
        if name in held:
            held[name] += 1
    order = sorted(shares, key=lambda name: (quotas[name] - shares[name], -held[name], name))
    for name in order[: count - sum(quotas.values())]:
        quotas[name] += 1
    return quotas


def _slots_to_move(
    assigned: Sequence[UpstreamId | None],
    defaults: Sequence[UpstreamId | None],
    quotas: Mapping[UpstreamId, int],
) -> list[int]:
    by_upstream: dict[UpstreamId | None, list[int]] = {}
    for slot, name in enumerate(assigned):
        by_upstream.setdefault(name, []).append(slot)
    free: list[int] = []
    for name, slots in by_upstream.items():
        keep = 0 if name is None else quotas.get(name, 0)
        slots.sort(key=lambda slot: (defaults[slot] != name, hash64(f"{name}/{slot}".encode())))
        free.extend(slots[keep:])
    return sorted(free)


def _assign_slots(
    free: list[int],
    assigned: Sequence[UpstreamId | None],
    defaults: Sequence[UpstreamId | None],
    quotas: Mapping[UpstreamId, int],
) -> dict[SlotNumber, UpstreamId]:
    room = dict(quotas)
    freed = set(free)
    for slot, name in enumerate(assigned):
        if slot not in freed and name is not None:
            room[name] -= 1
    moves: dict[SlotNumber, UpstreamId] = {}
    for slot in free:
        back = defaults[slot]
        if back is not None and room.get(back, 0) > 0:
            room[back] -= 1
            moves[SlotNumber(slot)] = back
    openings = [name for name in sorted(room) for _ in range(room[name])]
    openings.sort(key=lambda name: hash64(name.encode()))
    rest = [slot for slot in free if slot not in moves]
    rest.sort(key=lambda slot: hash64(slot.to_bytes(4, "big")))
    moves.update({SlotNumber(slot): name for slot, name in zip(rest, openings, strict=True)})
    return {slot: name for slot, name in moves.items() if assigned[slot] != name}
