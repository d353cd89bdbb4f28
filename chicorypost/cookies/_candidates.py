"""The upstreams of one service that accept new flows."""

from collections.abc import Iterator

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import DataCentreId, UpstreamId


class ServiceCandidates:
    """Upstreams of one service that accept new flows, grouped by data centre.

    Groups and slots are updated when an upstream changes, so that a choice doesn't have to sort all
    upstreams.

    Attributes
    ----------
    reachable : dict
        For each data centre the upstreams that aren't silent, by id.
    silent : dict
        The silent upstreams, by id.
    slots : dict
        For each data centre the slots of its reachable upstreams.
    """

    def __init__(self) -> None:
        self.reachable: dict[DataCentreId, dict[UpstreamId, VisibleUpstream]] = {}
        self.silent: dict[UpstreamId, VisibleUpstream] = {}
        self.slots: dict[DataCentreId, int] = {}

    def __len__(self) -> int:
        return self.count_reachable() + len(self.silent)

    def __iter__(self) -> Iterator[VisibleUpstream]:
        yield from self.list_reachable()
        yield from self.silent.values()

    def add(self, item: VisibleUpstream) -> None:
        """Add an upstream that isn't a candidate yet."""
        name = item.announcement.upstream
        if item.is_silent:
            self.silent[name] = item
            return
        data_centre = item.announcement.data_centre
        self.reachable.setdefault(data_centre, {})[name] = item
        self.slots[data_centre] = self.slots.get(data_centre, 0) + item.announcement.slots

    def remove(self, item: VisibleUpstream) -> None:
        """Remove an upstream, given as it was added; does nothing if it isn't a candidate."""
        name, data_centre = item.announcement.upstream, item.announcement.data_centre
        self.silent.pop(name, None)
        group = self.reachable.get(data_centre, {})
        if group.pop(name, None) is None:
            return
        self.slots[data_centre] -= item.announcement.slots
        if not group:
            del self.reachable[data_centre], self.slots[data_centre]

    def find_reachable(self, name: UpstreamId) -> VisibleUpstream | None:
        """Return a reachable upstream by its id, or None."""
        for group in self.reachable.values():
            if name in group:
                return group[name]
        return None

    def count_reachable(self) -> int:
        """Return the number of upstreams that aren't silent."""
        return sum(map(len, self.reachable.values()))

    def list_names(self) -> list[UpstreamId]:
        """Return the ids of the upstreams that aren't silent."""
        return [name for group in self.reachable.values() for name in group]

    def list_reachable(self) -> list[VisibleUpstream]:
        """Return the upstreams that aren't silent."""
        return [item for group in self.reachable.values() for item in group.values()]
