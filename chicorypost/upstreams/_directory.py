"""Directory of announced upstreams: keeper, relay and reader in one state machine."""

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
from chicorypost.upstreams._registry import AnnouncementRegistry
from chicorypost.upstreams._relay import Relays
from chicorypost.upstreams._settings import DirectorySettings


@dataclass(frozen=True, slots=True)
class AnnouncementReceived(Event):
    """An upstream announced itself to this balancer, valid for some seconds (0: it has left)."""

    upstream: Upstream
    valid_for_seconds: float


class UpstreamDirectory:
    """State machine that knows the announced upstreams.

    Takes `Announced`, `Received`, `Tick`, `LeaseChanged` and `ViewChanged` (of any data centre);
    gives `Send`, `Emit` and `UpstreamsChanged`.

    Parameters
    ----------
    settings : DirectorySettings
        Intervals and bounds.
    instance : InstanceId
        This balancer.
    data_centre : DataCentreId
        The data centre of this balancer.
    now : Instant
        Time of the start.

    Notes
    -----
    An upstream whose record nobody vouches for any more is shown as draining: no new work, its
    flows stay. It is removed once its keeper has seen its validity end. Two upstreams that claim
    one endpoint are both hidden until one of them is gone. Without a lease this balancer neither
    ends records nor vouches for them: one that was cut off or frozen removes nothing.
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
        self.registry = AnnouncementRegistry(settings, instance)
        self.relays = Relays(settings, instance, data_centre)
        self.visible_upstreams: dict[UpstreamId, Upstream] = {}
        self.liveness = LivenessConfirmation(settings)
        self.tombstones: dict[UpstreamId, Instant] = {}
        self.dissemination = DirectoryDissemination(
            settings, self.store, self.relays, self.liveness
        )

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        touched: set[UpstreamId] = set()
        self.registry.drop_ended_lease(now)
        match event:
            case AnnouncementReceived(upstream, valid_for_seconds):
                effects = self._handle_announcement(upstream, valid_for_seconds, touched, now)
            case Received(sender, message):
                effects = self._handle_message(sender, message, touched, now)
            case ViewChanged(view):
                effects = self._apply_view(view, now)
            case LeaseChanged(end):
                self.registry.update_lease(end, now)
                effects = []
            case _:
                effects = []
        if isinstance(event, Tick):
            effects += self._handle_tick(touched, now)
        for name in self._update_liveness(effects, now):
            touched |= set(self.store.upstreams_in(name))
        return effects + self._update_visible(touched)

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        own = (
            self.registry.next_deadline(),
            self.relays.next_deadline(),
            self.dissemination.next_deadline(),
            self.liveness.next_deadline(),
        )
        known = (deadline for deadline in own if deadline is not None)
        return min((*known, *self.tombstones.values()), default=None)

    def upstreams_of(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the upstreams that announce a service, in order of id."""
        names = sorted(self.store.upstreams_by_service.get(service, ()))
        return tuple(
            self.visible_upstreams[name] for name in names if name in self.visible_upstreams
        )

    def find_upstream(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream as it may be used now, or None."""
        return self.visible_upstreams.get(upstream)

    def weight_of(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the share of its capacity that an upstream should get: 0 to 1.

        The same on all balancers that have the same record; 0 unless the upstream is ready.
        """
        shown = self.visible_upstreams.get(upstream)
        if shown is None or shown.state is not UpstreamState.READY:
            return 0.0
        return (self.store.records[upstream].warm_up_stage + 1) / self.settings.slow_start_stages

    def find_refusal(self, upstream: Upstream) -> AnnouncementRefusal | None:
        """Return why an announcement is not taken, or None.

        `ENDPOINT_TAKEN` means that the upstream must not open its endpoints yet: its record is
        kept, but another upstream that claimed one of them has not been seen to end.
        """
        known = self.store.records.get(upstream.upstream)
        if known is not None:
            contradiction = find_contradiction(known.upstream, upstream)
            if contradiction is not None:
                return contradiction
        rivals = sorted(self.store.find_conflicting(upstream))
        if rivals:
            detail = f"an endpoint is claimed by {rivals[0]}, it must be gone first"
            return AnnouncementRefusal(AnnouncementRefusalReason.ENDPOINT_TAKEN, detail)
        return None

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
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
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.find_refusal(upstream)
        if refusal is not None and refusal.reason is not AnnouncementRefusalReason.ENDPOINT_TAKEN:
            return [announcement_refused_event(upstream, refusal.reason)]
        valid_seconds = min(max(valid_seconds, 0.0), self.settings.max_valid_seconds)
        keeper = self.registry.owner_of(upstream)
        effects: list[Effect] = []
        if keeper is not None and keeper != self.instance:
            valid_ms = int(valid_seconds * MILLISECONDS_PER_SECOND)
            effects.append(Send(keeper, AnnouncementForwarded(upstream, valid_ms)))
        return effects + self._register_announcement(upstream, valid_seconds, touched, now)

    def _register_announcement(
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if valid_seconds <= 0:
            return self._remove_upstream(upstream, touched, now)
        self.registry.renew_validity(upstream, Instant(now + valid_seconds), now)
        record = record_from_announcement(known, upstream)
        if not self.store.is_newer(record):
            return []
        return self._apply_records([record], touched, now, report=True)

    def _remove_upstream(
        self, upstream: Upstream, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if known is not None and known.upstream.incarnation > upstream.incarnation:
            return []
        revision = known.revision if known is not None else 0
        gone = DirectoryRecord(upstream, revision + 1, 0, is_removed=True)
        if known is not None and known.is_removed and known.upstream == upstream:
            return []
        return self._apply_records([gone], touched, now, report=True)

    def _handle_message(
        self, sender: InstanceId, message: Message, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        match message:
            case AnnouncementForwarded(upstream, valid_ms):
                return self._handle_forwarded(
                    upstream, valid_ms / MILLISECONDS_PER_SECOND, touched, now
                )
            case DirectoryReport(lines, records):
                effects = self._apply_records(records, touched, now, report=False)
                return effects + self.dissemination.compare_digests(sender, lines, now)
            case DirectoryUpdate(root, lines, records):
                sends = [Send(child, message) for child in self.relays.children_of(root)]
                effects = self._apply_records(records, touched, now, report=False)
                return [*sends, *effects, *self.dissemination.compare_digests(root, lines, now)]
            case DirectorySyncRequest(data_centre, buckets):
                return self.dissemination.send_repairs(sender, data_centre, buckets)
            case DirectoryRepair(data_centre, numbers, records):
                return self._apply_repair(sender, data_centre, numbers, records, touched, now)
            case _:
                return []

    def _handle_forwarded(
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.find_refusal(upstream)
        if refusal is not None and refusal.reason is not AnnouncementRefusalReason.ENDPOINT_TAKEN:
            return [announcement_refused_event(upstream, refusal.reason)]
        return self._register_announcement(upstream, valid_seconds, touched, now)

    def _apply_view(self, view: View, now: Instant) -> list[Effect]:
        self.relays.apply_view(view, now)
        live = [
            record.upstream
            for record in self.store.records.values()
            if not record.is_removed and record.upstream.data_centre == view.data_centre
        ]
        self.registry.apply_view(view, live, now)
        return []

    def _handle_tick(self, touched: set[UpstreamId], now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name in self.registry.expired_upstreams(now):
            effects += self._expire_upstream(name, touched, now)
        for name in self.registry.advance_warm_up(now):
            effects += self._update_warm_up(name, touched, now)
        for name in [name for name, until in self.tombstones.items() if until <= now]:
            del self.tombstones[name]
            self.registry.forget_upstream(self.store.records[name].upstream)
            self.store.remove_record(name, now)
        effects += self.dissemination.resend_due_reports(now)
        return effects + self.relays.flush_batch(self.dissemination.digest_entries(now), now)

    def _expire_upstream(
        self, name: UpstreamId, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.is_removed:
            return []
        upstream = record.upstream
        logged = UPSTREAM_EXPIRED.emit(upstream=name, incarnation=upstream.incarnation)
        return [logged, *self._remove_upstream(upstream, touched, now)]

    def _update_warm_up(
        self, name: UpstreamId, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.is_removed:
            return []
        warmer = DirectoryRecord(
            record.upstream,
            record.revision + 1,
            self.registry.warm_up_stage(name),
            is_removed=False,
        )
        return self._apply_records([warmer], touched, now, report=True)

    def _apply_records(
        self,
        records: Iterable[DirectoryRecord],
        touched: set[UpstreamId],
        now: Instant,
        report: bool,
    ) -> list[Effect]:
        news: list[DirectoryRecord] = []
        for record in records:
            name = record.upstream.upstream
            if not self.store.is_newer(record):
                continue
            self.dissemination.drop_superseded_report(record)
            touched |= self._find_affected(name)
            self.store.put_record(record, now)
            touched |= self._find_affected(name)
            news.append(record)
            self.tombstones.pop(name, None)
            if record.is_removed:
                self.tombstones[name] = Instant(now + self.settings.tombstone_seconds)
            self.registry.apply_record(record, now)
        if not news:
            return []
        self.relays.queue_records(news, now)
        return self.dissemination.report_records(news, now) if report else []

    def _find_affected(self, name: UpstreamId) -> set[UpstreamId]:
        record = self.store.records.get(name)
        return {name} if record is None else {name} | self.store.find_conflicting(record.upstream)

    def _update_liveness(self, effects: list[Effect], now: Instant) -> list[DataCentreId]:
        acts = self.relays.is_relay and self.registry.holds_lease(now)
        self.liveness.always_confirmed = self.data_centre if acts else None
        changed = self.liveness.update_confirmed(self.dissemination.data_centres(), now)
        for data_centre in changed:
            vouched = data_centre in self.liveness.confirmed
            spec = DIRECTORY_CONFIRMED if vouched else DIRECTORY_UNCONFIRMED
            effects.append(spec.emit(data_centre=data_centre))
        return changed

    def _apply_repair(
        self,
        sender: InstanceId,
        data_centre: DataCentreId,
        numbers: tuple[int, ...],
        records: tuple[DirectoryRecord, ...],
        touched: set[UpstreamId],
        now: Instant,
    ) -> list[Effect]:
        effects = self._apply_records(records, touched, now, report=False)
        newer = self.dissemination.records_missing_from(data_centre, numbers, records)
        if newer:
            effects.append(Send(sender, DirectoryReport((), tuple(newer))))
        count = len(records)
        return [*effects, DIRECTORY_REPAIRED.emit(data_centre=data_centre, records=count)]

    def _update_visible(self, touched: set[UpstreamId]) -> list[Effect]:
        changed: list[Upstream] = []
        removed: list[UpstreamId] = []
        effects: list[Effect] = []
        for name in sorted(touched):
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
        rivals = sorted(self.store.find_conflicting(upstream))
        if rivals:
            endpoint = f"{upstream.requests.host}:{upstream.requests.port}"
            fields = {"upstream": name, "other": rivals[0], "endpoint": endpoint}
            effects.append(ENDPOINT_CONFLICT.emit(**fields))
            return None
        vouched = upstream.data_centre in self.liveness.confirmed
        if vouched or upstream.state is not UpstreamState.READY:
            return upstream
        return msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
