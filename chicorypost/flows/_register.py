"""Flows opened since their slots began to move, with the upstream of each."""

from collections.abc import Iterable, Iterator

from chicorypost.base import ServiceId, UpstreamId


class FlowRegister:
    """Placements by service and slot, as an owner, a backup or a former one holds them."""

    def __init__(self) -> None:
        self.slots: dict[tuple[ServiceId, int], dict[int, UpstreamId]] = {}
        self.size = 0

    def get(self, service: ServiceId, slot: int, flow: int) -> UpstreamId | None:
        """Return where a flow was placed, or None."""
        placed = self.slots.get((service, slot))
        return None if placed is None else placed.get(flow)

    def put(self, service: ServiceId, slot: int, flow: int, upstream: UpstreamId) -> None:
        """Store a placement; the first one of a flow stays."""
        placed = self.slots.setdefault((service, slot), {})
        if flow not in placed:
            placed[flow] = upstream
            self.size += 1

    def drop_slot(self, service: ServiceId, slot: int) -> None:
        """Forget the placements of a slot."""
        self.size -= len(self.slots.pop((service, slot), ()))

    def placements(
        self, service: ServiceId, slots: Iterable[int]
    ) -> Iterator[tuple[int, UpstreamId]]:
        """Return the flows of some slots with their upstreams."""
        for slot in slots:
            yield from self.slots.get((service, slot), {}).items()
