"""Announcements registered at this balancer: their validity and the slow start of upstreams."""

from collections.abc import Iterable
from typing import Any

from chicorypost.base import (
    DataCentreId,
    InstanceId,
    Instant,
    Upstream,
    UpstreamId,
    UpstreamState,
    View,
)
from chicorypost.upstreams._directory_messages import DirectoryRecord
from chicorypost.upstreams._placement import DispatcherPlacement
from chicorypost.upstreams._settings import DirectorySettings


class LocalAnnouncements:
    """Validity deadlines and slow-start stages of the upstreams registered at this balancer.

    Before the first view, a balancer registers every upstream that is announced to it.
    """

    def __init__(self, settings: DirectorySettings, instance: InstanceId) -> None:
        self.settings = settings
        self.instance = instance
        self.placements: dict[DataCentreId, DispatcherPlacement] = {}
        self.valid_until: dict[UpstreamId, Instant] = {}
        self.warm_up_stages: dict[UpstreamId, int] = {}
        self.next_stage_at: dict[UpstreamId, Instant] = {}
        self.lease_end: Instant | None = None

    def owner_of(self, upstream: Upstream) -> InstanceId | None:
        """Return the balancer that registers an upstream, or None without a view."""
        placement = self.placements.get(upstream.data_centre)
        return placement.owner_of(upstream.upstream) if placement is not None else None

    def forget_upstream(self, upstream: Upstream) -> None:
        """Drop the cached placement of a removed upstream."""
        placement = self.placements.get(upstream.data_centre)
        if placement is not None:
            placement.forget_upstreams([upstream.upstream])

    def is_registered(self, upstream: UpstreamId) -> bool:
        """Return whether this balancer registers the upstream."""
        return upstream in self.valid_until

    def holds_lease(self, now: Instant) -> bool:
        """Return whether this balancer holds its lease."""
        return self.lease_end is not None and now < self.lease_end

    def update_lease(self, end: Instant | None, now: Instant) -> None:
        """Update the end of the lease; after a gap, reset all validity to the maximum.

        During the gap, announcements may have been sent to another balancer.
        """
        had_lease = self.holds_lease(now)
        self.lease_end = end
        if had_lease != self.holds_lease(now):
            latest_end = Instant(now + self.settings.max_valid_seconds)
            self.valid_until = dict.fromkeys(self.valid_until, latest_end)

    def drop_ended_lease(self, now: Instant) -> None:
        """Clear the lease if it has ended."""
        if not self.holds_lease(now):
            self.lease_end = None

    def renew_validity(self, upstream: Upstream, until: Instant, now: Instant) -> None:
        """Renew the validity of an upstream if it is registered at this balancer."""
        if self.owner_of(upstream) not in (None, self.instance):
            return
        self.valid_until[upstream.upstream] = until

    def apply_record(self, record: DirectoryRecord, now: Instant) -> None:
        """Update validity and slow start after a record was stored."""
        name = record.upstream.upstream
        if record.is_removed:
            self._drop_upstream(name)
            return
        if self.owner_of(record.upstream) == self.instance and name not in self.valid_until:
            self.valid_until[name] = Instant(now + self.settings.max_valid_seconds)
        if self.is_registered(name):
            self._update_warm_up(record, now)

    def apply_view(self, view: View, upstreams: Iterable[Upstream], now: Instant) -> None:
        """Apply a view: register upstreams that move here and drop those that move away.

        An upstream that moves here gets the maximum validity.
        """
        self.placements.setdefault(view.data_centre, DispatcherPlacement()).apply_view(view)
        for upstream in upstreams:
            name = upstream.upstream
            if self.owner_of(upstream) != self.instance:
                self._drop_upstream(name)
            elif name not in self.valid_until:
                self.valid_until[name] = Instant(now + self.settings.max_valid_seconds)
                self._schedule_next_stage(name, upstream.state, now)

    def expired_upstreams(self, now: Instant) -> list[UpstreamId]:
        """Return the upstreams whose validity has ended, or an empty list without a lease."""
        if not self.holds_lease(now):
            return []
        return sorted(name for name, until in self.valid_until.items() if until <= now)

    def advance_warm_up(self, now: Instant) -> list[UpstreamId]:
        """Advance the upstreams whose next slow-start stage is due, and return them."""
        if not self.holds_lease(now):
            return []
        due = sorted(name for name, at in self.next_stage_at.items() if at <= now)
        for name in due:
            self.warm_up_stages[name] = min(
                self.warm_up_stage(name) + 1, self.settings.slow_start_stages - 1
            )
            del self.next_stage_at[name]
            self._schedule_next_stage(name, UpstreamState.READY, now)
        return due

    def warm_up_stage(self, upstream: UpstreamId) -> int:
        """Return the slow-start stage of an upstream, starting at 0."""
        return self.warm_up_stages.get(upstream, 0)

    def next_deadline(self) -> Instant | None:
        """Return the earliest end of a validity or slow-start stage, or None without a lease."""
        if self.lease_end is None:
            return None
        return min((*self.valid_until.values(), *self.next_stage_at.values()), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the deadlines as JSON-compatible values."""
        return {"valid_until": dict(self.valid_until), "next_stage": dict(self.next_stage_at)}

    def _update_warm_up(self, record: DirectoryRecord, now: Instant) -> None:
        name = record.upstream.upstream
        self.warm_up_stages[name] = record.warm_up_stage
        if record.upstream.state is not UpstreamState.READY:
            self.next_stage_at.pop(name, None)
        elif name not in self.next_stage_at:
            self._schedule_next_stage(name, record.upstream.state, now)

    def _schedule_next_stage(self, name: UpstreamId, state: UpstreamState, now: Instant) -> None:
        stages = self.settings.slow_start_stages
        if state is UpstreamState.READY and self.warm_up_stage(name) < stages - 1:
            stage_seconds = self.settings.slow_start_seconds / stages
            self.next_stage_at[name] = Instant(now + stage_seconds)

    def _drop_upstream(self, name: UpstreamId) -> None:
        for table in (self.valid_until, self.warm_up_stages, self.next_stage_at):
            table.pop(name, None)
