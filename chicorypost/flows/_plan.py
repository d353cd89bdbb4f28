"""Assignment of a service's slots to its upstreams by weight, with few moves."""

from collections.abc import Mapping, Sequence

from chicorypost.base import SlotNumber, UpstreamId, hash64


def plan_moves(
    assigned: Sequence[UpstreamId | None],
    defaults: Sequence[UpstreamId | None],
    weights: Mapping[UpstreamId, float],
) -> dict[SlotNumber, UpstreamId]:
    """Choose the slots to move so that each upstream gets its share.

    Parameters
    ----------
    assigned : sequence of UpstreamId or None
        The upstream that takes new flows of each slot at present.
    defaults : sequence of UpstreamId or None
        The upstream of the older flows of each slot. Moving a slot back to it is preferred.
    weights : mapping of UpstreamId to float
        Relative capacity of each upstream that can take new flows.

    Returns
    -------
    dict of SlotNumber to UpstreamId
        New upstream of each slot that changes. No upstream gets more than its share rounded up.

    Notes
    -----
    An upstream keeps as many of its slots as its quota allows, so that only the surplus moves.
    """
    usable = {name: weight for name, weight in weights.items() if weight > 0}
    if not usable:
        return {}
    quotas = _quotas(len(assigned), assigned, usable)
    movable = _slots_to_move(assigned, defaults, quotas)
    return _assign_slots(movable, assigned, defaults, quotas)


def _quotas(
    count: int, assigned: Sequence[UpstreamId | None], weights: Mapping[UpstreamId, float]
) -> dict[UpstreamId, int]:
    """Round shares by largest remainder; ties favour upstreams that already have more slots."""
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
    movable: list[int] = []
    for name, slots in by_upstream.items():
        keep = 0 if name is None else quotas.get(name, 0)
        slots.sort(key=lambda slot: (defaults[slot] != name, hash64(f"{name}/{slot}".encode())))
        movable.extend(slots[keep:])
    return sorted(movable)


def _assign_slots(
    movable: list[int],
    assigned: Sequence[UpstreamId | None],
    defaults: Sequence[UpstreamId | None],
    quotas: Mapping[UpstreamId, int],
) -> dict[SlotNumber, UpstreamId]:
    remaining = dict(quotas)
    movable_slots = set(movable)
    for slot, name in enumerate(assigned):
        if slot not in movable_slots and name is not None:
            remaining[name] -= 1
    moves: dict[SlotNumber, UpstreamId] = {}
    for slot in movable:
        default = defaults[slot]
        if default is not None and remaining.get(default, 0) > 0:
            remaining[default] -= 1
            moves[SlotNumber(slot)] = default
    vacancies = [name for name in sorted(remaining) for _ in range(remaining[name])]
    vacancies.sort(key=lambda name: hash64(name.encode()))
    rest = [slot for slot in movable if slot not in moves]
    rest.sort(key=lambda slot: hash64(slot.to_bytes(4, "big")))
    moves.update({SlotNumber(slot): name for slot, name in zip(rest, vacancies, strict=True)})
    return {slot: name for slot, name in moves.items() if assigned[slot] != name}
