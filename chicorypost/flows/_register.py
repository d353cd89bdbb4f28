"""Upstreams of the flows that were opened while their slots were moving."""

from collections.abc import Iterable, Iterator

from chicorypost.base import ServiceId, UpstreamId


class FlowRegister:
    """Flow placements by service and slot, kept by current and previous owners and backups."""

    def __init__(self) -> None:
        self.slots: dict[tuple[ServiceId, int], dict[int, UpstreamId]] = {}
        self.size = 0

    def get(self, service: ServiceId, slot: int, flow: int) -> UpstreamId | None:
        """Return the upstream of a flow, or None when it is not registered."""
        placed = self.slots.get((service, slot))
        return None if placed is None else placed.get(flow)

    def put(self, service: ServiceId, slot: int, flow: int, upstream: UpstreamId) -> None:
        """Store a placement; the first placement of a flow is never replaced."""
        placed = self.slots.setdefault((service, slot), {})
        if flow not in placed:
            placed[flow] = upstream
            self.size += 1

    def drop_slot(self, service: ServiceId, slot: int) -> None:
        """Delete the placements of a slot."""
        self.size -= len(self.slots.pop((service, slot), ()))

    def placements(
        self, service: ServiceId, slots: Iterable[int]
    ) -> Iterator[tuple[int, UpstreamId]]:
        """Yield the flow hash and upstream of each registered flow in some slots."""
        for slot in slots:
            yield from self.slots.get((service, slot), {}).items()
