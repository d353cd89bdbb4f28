"""Relays of a data centre: who passes changes on to whom."""

from collections.abc import Iterable
from typing import Any

from chicorypost.base import (
    DataCentreId,
    Effect,
    InstanceId,
    Instant,
    Send,
    UpstreamId,
    View,
    rank_members,
)
from chicorypost.upstreams._directory_messages import (
    DigestEntry,
    DirectoryRecord,
    DirectoryReport,
    DirectoryUpdate,
)
from chicorypost.upstreams._settings import DirectorySettings

RELAYS_PER_DATA_CENTRE = 2
RELAY_PLACEMENT_KEY = b"directory-relay"
MAX_RECORDS_PER_UPDATE = 256


def find_relays(view: View) -> list[InstanceId]:
    """Return the relays of a data centre, the first one first."""
    return [
        member.instance
        for member in rank_members(view, RELAY_PLACEMENT_KEY, RELAYS_PER_DATA_CENTRE)
    ]


def tree_order(view: View, root: InstanceId) -> list[InstanceId]:
    """Return the members of a view as they stand in the tree of a root, level by level."""
    ranked = rank_members(view, b"directory-tree/" + root.encode(), len(view.members))
    names = [member.instance for member in ranked]
    return [root, *(name for name in names if name != root)] if root in names else []


class Relays:
    """Views, trees and the batch that this balancer sends when it is a relay."""

    def __init__(
        self, settings: DirectorySettings, instance: InstanceId, data_centre: DataCentreId
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.data_centre = data_centre
        self.views: dict[DataCentreId, View] = {}
        self.relays_by_data_centre: dict[DataCentreId, list[InstanceId]] = {}
        self.trees: dict[InstanceId, list[InstanceId]] = {}
        self.batch: dict[UpstreamId, DirectoryRecord] = {}
        self.flush_at: Instant | None = None
        self.heartbeat_at: Instant | None = None

    @property
    def is_relay(self) -> bool:
        """Whether this balancer is a relay of its data centre."""
        return self.instance in self.own_relays()

    def own_relays(self) -> list[InstanceId]:
        """Return the relays of the own data centre."""
        return self.relays_by_data_centre.get(self.data_centre, [])

    def apply_view(self, view: View, now: Instant) -> None:
        """Take a newer view of a data centre."""
        known = self.views.get(view.data_centre)
        if known is not None and known.epoch >= view.epoch:
            return
        self.views[view.data_centre] = view
        self.relays_by_data_centre[view.data_centre] = find_relays(view)
        if view.data_centre != self.data_centre:
            return
        self.trees.clear()
        if self.is_relay:
            self.heartbeat_at = self.heartbeat_at or now
        else:
            self.heartbeat_at = self.flush_at = None
            self.batch.clear()

    def children_of(self, root: InstanceId) -> list[InstanceId]:
        """Return to whom this balancer passes on what comes from a root."""
        view = self.views.get(self.data_centre)
        if view is None:
            return []
        if root not in self.trees:
            order = tree_order(view, root)
            self.trees[root] = self._children_in(order)
        return self.trees[root]

    def queue_records(self, records: Iterable[DirectoryRecord], now: Instant) -> None:
        """Put changes into the next batch, if this balancer is a relay."""
        if not self.is_relay:
            return
        self.batch.update({record.upstream.upstream: record for record in records})
        if self.flush_at is None:
            self.flush_at = Instant(now + self.settings.batch_seconds)

    def flush_batch(self, lines: list[DigestEntry], now: Instant) -> list[Effect]:
        """Send the batch or the heartbeat that is due."""
        if not self.is_relay:
            return []
        batch_due = self.flush_at is not None and self.flush_at <= now
        heartbeat_due = self.heartbeat_at is not None and self.heartbeat_at <= now
        if not batch_due and not heartbeat_due:
            return []
        self.flush_at = None
        self.heartbeat_at = Instant(now + self.settings.heartbeat_seconds)
        records = [self.batch[name] for name in sorted(self.batch)]
        self.batch.clear()
        return self._send_batch(lines, records)

    def next_deadline(self) -> Instant | None:
        """Return when the next batch or heartbeat is due."""
        deadlines = (self.flush_at, self.heartbeat_at)
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return relays and pending batch as values that JSON can hold."""
        return {
            "relays": {name: list(relays) for name, relays in self.relays_by_data_centre.items()},
            "batch": sorted(self.batch),
        }

    def _children_in(self, order: list[InstanceId]) -> list[InstanceId]:
        if self.instance not in order:
            return []
        first = order.index(self.instance) * self.settings.fan_out + 1
        return order[first : first + self.settings.fan_out]

    def _send_batch(self, lines: list[DigestEntry], records: list[DirectoryRecord]) -> list[Effect]:
        own_line = tuple(line for line in lines if line.data_centre == self.data_centre)
        own = [record for record in records if record.upstream.data_centre == self.data_centre]
        abroad = [
            relay
            for data_centre, relays in sorted(self.relays_by_data_centre.items())
            if data_centre != self.data_centre
            for relay in relays
        ]
        effects: list[Effect] = []
        for page in _split_records(records):
            update = DirectoryUpdate(self.instance, tuple(lines), page)
            effects += [Send(child, update) for child in self.children_of(self.instance)]
        for page in _split_records(own):
            report = DirectoryReport(own_line, page)
            effects += [Send(relay, report) for relay in abroad]
        return effects


def _split_records(records: list[DirectoryRecord]) -> list[tuple[DirectoryRecord, ...]]:
    starts = range(0, max(len(records), 1), MAX_RECORDS_PER_UPDATE)
    return [tuple(records[start : start + MAX_RECORDS_PER_UPDATE]) for start in starts]
