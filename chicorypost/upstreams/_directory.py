"""Directory of announced upstreams, replicated between balancers."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from chicorypost.base import (
    DataCentreId,
    Effect,
    Event,
    InstanceId,
    Instant,
    LeaseChanged,
    Message,
    Received,
    Send,
    ServiceId,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    View,
    ViewChanged,
)
from chicorypost.upstreams._announcement import (
    AnnouncementRefusal,
    AnnouncementRefusalReason,
    announcement_refused_event,
    find_contradiction,
    record_from_announcement,
)
from chicorypost.upstreams._directory_messages import (
    AnnouncementForwarded,
    DirectoryRecord,
    DirectoryRepair,
    DirectoryReport,
    DirectorySyncRequest,
    DirectoryUpdate,
)
from chicorypost.upstreams._dissemination import MILLISECONDS_PER_SECOND, DirectoryDissemination
from chicorypost.upstreams._events import (
    DIRECTORY_CONFIRMED,
    DIRECTORY_REPAIRED,
    DIRECTORY_UNCONFIRMED,
    ENDPOINT_CONFLICT,
    UPSTREAM_EXPIRED,
)
from chicorypost.upstreams._liveness import LivenessConfirmation
from chicorypost.upstreams._records import RecordStore
from chicorypost.upstreams._registry import LocalAnnouncements
from chicorypost.upstreams._relay import Relays
from chicorypost.upstreams._settings import DirectorySettings


@dataclass(frozen=True, slots=True)
class AnnouncementReceived(Event):
    """An upstream announced itself to this balancer.

    The announcement is valid for `valid_for_seconds`; 0 withdraws it.
    """

    upstream: Upstream
    valid_for_seconds: float


class UpstreamDirectory:
    """State machine that maintains the announced upstreams of all data centres.

    It handles `AnnouncementReceived`, `Received`, `Tick`, `LeaseChanged` and `ViewChanged` (of any
    data centre) and returns `Send`, `Emit` and `UpstreamsChanged`.

    Parameters
    ----------
    settings : DirectorySettings
        Intervals and limits.
    instance : InstanceId
        This balancer.
    data_centre : DataCentreId
        The data centre of this balancer.
    now : Instant
        Start time.

    Notes
    -----
    An upstream whose data centre is no longer confirmed by a relay appears as draining: it
    receives no new work and keeps its flows. It is removed when the balancer that registers its
    announcements observes the end of their validity. Two upstreams that claim the same endpoint
    are both hidden until one of them is removed. Without a lease, this balancer neither expires
    records nor confirms them, so that a balancer that was partitioned or paused removes nothing.
    """

    def __init__(
        self,
        settings: DirectorySettings,
        instance: InstanceId,
        data_centre: DataCentreId,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.data_centre = data_centre
        self.store = RecordStore(settings.digest_buckets)
        self.registry = LocalAnnouncements(settings, instance)
        self.relays = Relays(settings, instance, data_centre)
        self.visible_upstreams: dict[UpstreamId, Upstream] = {}
        self.liveness = LivenessConfirmation(settings)
        self.tombstones: dict[UpstreamId, Instant] = {}
        self.dissemination = DirectoryDissemination(
            settings, self.store, self.relays, self.liveness
        )

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Apply one event and return the effects in the order of execution."""
        affected: set[UpstreamId] = set()
        self.registry.drop_ended_lease(now)
        match event:
            case AnnouncementReceived(upstream, valid_for_seconds):
                effects = self._handle_announcement(upstream, valid_for_seconds, affected, now)
            case Received(sender, message):
                effects = self._handle_message(sender, message, affected, now)
            case ViewChanged(view):
                effects = self._apply_view(view, now)
            case LeaseChanged(end):
                self.registry.update_lease(end, now)
                effects = []
            case _:
                effects = []
        if isinstance(event, Tick):
            effects += self._handle_tick(affected, now)
        for name in self._update_liveness(effects, now):
            affected |= set(self.store.upstreams_in(name))
        return effects + self._update_visible(affected)

    def next_deadline(self) -> Instant | None:
        """Return when the next `Tick` is due, or None."""
        own = (
            self.registry.next_deadline(),
            self.relays.next_deadline(),
            self.dissemination.next_deadline(),
            self.liveness.next_deadline(),
        )
        known = (deadline for deadline in own if deadline is not None)
        return min((*known, *self.tombstones.values()), default=None)

    def upstreams_of(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the visible upstreams that announce a service, ordered by id."""
        names = sorted(self.store.upstreams_by_service.get(service, ()))
        return tuple(
            self.visible_upstreams[name] for name in names if name in self.visible_upstreams
        )

    def find_upstream(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream in its currently usable state, or None if it is hidden or unknown."""
        return self.visible_upstreams.get(upstream)

    def weight_of(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the fraction of its capacity that an upstream should receive, from 0 to 1.

        The value is equal on all balancers with the same record, and 0 unless the upstream is
        ready.
        """
        visible = self.visible_upstreams.get(upstream)
        if visible is None or visible.state is not UpstreamState.READY:
            return 0.0
        return (self.store.records[upstream].warm_up_stage + 1) / self.settings.slow_start_stages

    def find_refusal(self, upstream: Upstream) -> AnnouncementRefusal | None:
        """Return why an announcement is refused, or None if it is accepted.

        For `ENDPOINT_TAKEN`, the record is stored, but the upstream must not open its endpoints
        yet: another upstream claims one of them and has not been removed.
        """
        known = self.store.records.get(upstream.upstream)
        if known is not None:
            contradiction = find_contradiction(known.upstream, upstream)
            if contradiction is not None:
                return contradiction
        conflicting = sorted(self.store.find_conflicting(upstream))
        if conflicting:
            detail = f"an endpoint is claimed by {conflicting[0]}, it must be gone first"
            return AnnouncementRefusal(AnnouncementRefusalReason.ENDPOINT_TAKEN, detail)
        return None

    def dump(self) -> dict[str, Any]:
        """Return the state that determines decisions, as JSON-compatible values."""
        return {
            "records": [msgspec.to_builtins(record) for record in self.store.records.values()],
            "hidden": sorted(self._hidden_upstreams()),
            "vouched_until": dict(self.liveness.confirmed_until),
            "keeper": self.registry.dump(),
            "relays": self.relays.dump(),
            "unconfirmed": sorted(self.dissemination.unconfirmed_reports),
        }

    def _hidden_upstreams(self) -> list[UpstreamId]:
        live = (name for name, record in self.store.records.items() if not record.is_removed)
        return [name for name in live if name not in self.visible_upstreams]

    def _handle_announcement(
        self, upstream: Upstream, valid_seconds: float, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.find_refusal(upstream)
        if refusal is not None and refusal.reason is not AnnouncementRefusalReason.ENDPOINT_TAKEN:
            return [announcement_refused_event(upstream, refusal.reason)]
        valid_seconds = min(max(valid_seconds, 0.0), self.settings.max_valid_seconds)
        owner = self.registry.owner_of(upstream)
        effects: list[Effect] = []
        if owner is not None and owner != self.instance:
            valid_ms = int(valid_seconds * MILLISECONDS_PER_SECOND)
            effects.append(Send(owner, AnnouncementForwarded(upstream, valid_ms)))
        return effects + self._register_announcement(upstream, valid_seconds, affected, now)

    def _register_announcement(
        self, upstream: Upstream, valid_seconds: float, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if valid_seconds <= 0:
            return self._remove_upstream(upstream, affected, now)
        self.registry.renew_validity(upstream, Instant(now + valid_seconds), now)
        record = record_from_announcement(known, upstream)
        if not self.store.is_newer(record):
            return []
        return self._apply_records([record], affected, now, report=True)

    def _remove_upstream(
        self, upstream: Upstream, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if known is not None and known.upstream.incarnation > upstream.incarnation:
            return []
        revision = known.revision if known is not None else 0
        removed_record = DirectoryRecord(upstream, revision + 1, 0, is_removed=True)
        if known is not None and known.is_removed and known.upstream == upstream:
            return []
        return self._apply_records([removed_record], affected, now, report=True)

    def _handle_message(
        self, sender: InstanceId, message: Message, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        match message:
            case AnnouncementForwarded(upstream, valid_ms):
                return self._handle_forwarded(
                    upstream, valid_ms / MILLISECONDS_PER_SECOND, affected, now
                )
            case DirectoryReport(digests, records):
                effects = self._apply_records(records, affected, now, report=False)
                return effects + self.dissemination.compare_digests(sender, digests, now)
            case DirectoryUpdate(root, digests, records):
                sends = [Send(child, message) for child in self.relays.children_of(root)]
                effects = self._apply_records(records, affected, now, report=False)
                return [*sends, *effects, *self.dissemination.compare_digests(root, digests, now)]
            case DirectorySyncRequest(data_centre, bucket_digests):
                return self.dissemination.send_repairs(sender, data_centre, bucket_digests)
            case DirectoryRepair(data_centre, numbers, records):
                return self._apply_repair(sender, data_centre, numbers, records, affected, now)
            case _:
                return []

    def _handle_forwarded(
        self, upstream: Upstream, valid_seconds: float, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.find_refusal(upstream)
        if refusal is not None and refusal.reason is not AnnouncementRefusalReason.ENDPOINT_TAKEN:
            return [announcement_refused_event(upstream, refusal.reason)]
        return self._register_announcement(upstream, valid_seconds, affected, now)

    def _apply_view(self, view: View, now: Instant) -> list[Effect]:
        self.relays.apply_view(view, now)
        live = [
            record.upstream
            for record in self.store.records.values()
            if not record.is_removed and record.upstream.data_centre == view.data_centre
        ]
        self.registry.apply_view(view, live, now)
        return []

    def _handle_tick(self, affected: set[UpstreamId], now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name in self.registry.expired_upstreams(now):
            effects += self._expire_upstream(name, affected, now)
        for name in self.registry.advance_warm_up(now):
            effects += self._update_warm_up(name, affected, now)
        for name in [name for name, until in self.tombstones.items() if until <= now]:
            del self.tombstones[name]
            self.registry.forget_upstream(self.store.records[name].upstream)
            self.store.remove_record(name, now)
        effects += self.dissemination.resend_due_reports(now)
        return effects + self.relays.flush_batch(self.dissemination.digest_entries(now), now)

    def _expire_upstream(
        self, name: UpstreamId, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.is_removed:
            return []
        upstream = record.upstream
        logged = UPSTREAM_EXPIRED.emit(upstream=name, incarnation=upstream.incarnation)
        return [logged, *self._remove_upstream(upstream, affected, now)]

    def _update_warm_up(
        self, name: UpstreamId, affected: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.is_removed:
            return []
        updated = DirectoryRecord(
            record.upstream,
            record.revision + 1,
            self.registry.warm_up_stage(name),
            is_removed=False,
        )
        return self._apply_records([updated], affected, now, report=True)

    def _apply_records(
        self,
        records: Iterable[DirectoryRecord],
        affected: set[UpstreamId],
        now: Instant,
        report: bool,
    ) -> list[Effect]:
        newer_records: list[DirectoryRecord] = []
        for record in records:
            name = record.upstream.upstream
            if not self.store.is_newer(record):
                continue
            self.dissemination.drop_superseded_report(record)
            affected |= self._find_affected(name)
            self.store.put_record(record, now)
            affected |= self._find_affected(name)
            newer_records.append(record)
            self.tombstones.pop(name, None)
            if record.is_removed:
                self.tombstones[name] = Instant(now + self.settings.tombstone_seconds)
            self.registry.apply_record(record, now)
        if not newer_records:
            return []
        self.relays.queue_records(newer_records, now)
        return self.dissemination.report_records(newer_records, now) if report else []

    def _find_affected(self, name: UpstreamId) -> set[UpstreamId]:
        """Return an upstream and those that claim one of its endpoints."""
        record = self.store.records.get(name)
        return {name} if record is None else {name} | self.store.find_conflicting(record.upstream)

    def _update_liveness(self, effects: list[Effect], now: Instant) -> list[DataCentreId]:
        is_authoritative = self.relays.is_relay and self.registry.holds_lease(now)
        self.liveness.always_confirmed = self.data_centre if is_authoritative else None
        changed = self.liveness.update_confirmed(self.dissemination.data_centres(), now)
        for data_centre in changed:
            is_confirmed = data_centre in self.liveness.confirmed
            spec = DIRECTORY_CONFIRMED if is_confirmed else DIRECTORY_UNCONFIRMED
            effects.append(spec.emit(data_centre=data_centre))
        return changed

    def _apply_repair(
        self,
        sender: InstanceId,
        data_centre: DataCentreId,
        numbers: tuple[int, ...],
        records: tuple[DirectoryRecord, ...],
        affected: set[UpstreamId],
        now: Instant,
    ) -> list[Effect]:
        effects = self._apply_records(records, affected, now, report=False)
        newer = self.dissemination.records_missing_from(data_centre, numbers, records)
        if newer:
            effects.append(Send(sender, DirectoryReport((), tuple(newer))))
        count = len(records)
        return [*effects, DIRECTORY_REPAIRED.emit(data_centre=data_centre, records=count)]

    def _update_visible(self, affected: set[UpstreamId]) -> list[Effect]:
        changed: list[Upstream] = []
        removed: list[UpstreamId] = []
        effects: list[Effect] = []
        for name in sorted(affected):
            before, after = self.visible_upstreams.get(name), self._visible_form(name, effects)
            if after is None:
                self.visible_upstreams.pop(name, None)
            else:
                self.visible_upstreams[name] = after
            if after is None and before is not None:
                removed.append(name)
            elif after is not None and after != before:
                changed.append(after)
        if changed or removed:
            effects.append(UpstreamsChanged(tuple(changed), tuple(removed)))
        return effects

    def _visible_form(self, name: UpstreamId, effects: list[Effect]) -> Upstream | None:
        record = self.store.records.get(name)
        if record is None or record.is_removed:
            return None
        upstream = record.upstream
        conflicting = sorted(self.store.find_conflicting(upstream))
        if conflicting:
            endpoint = f"{upstream.requests.host}:{upstream.requests.port}"
            fields = {"upstream": name, "other": conflicting[0], "endpoint": endpoint}
            effects.append(ENDPOINT_CONFLICT.emit(**fields))
            return None
        is_confirmed = upstream.data_centre in self.liveness.confirmed
        if is_confirmed or upstream.state is not UpstreamState.READY:
            return upstream
        return msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
