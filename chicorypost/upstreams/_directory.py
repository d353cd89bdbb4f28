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
    RefusalReason,
    announced_record,
    find_contradiction,
    refused,
)
from chicorypost.upstreams._directory_messages import (
    AnnouncementForwarded,
    DirectoryRecord,
    DirectoryRepair,
    DirectoryReport,
    DirectorySync,
    DirectoryUpdate,
)
from chicorypost.upstreams._events import (
    DIRECTORY_REPAIRED,
    DIRECTORY_UNVOUCHED,
    DIRECTORY_VOUCHED,
    ENDPOINT_CONFLICT,
    UPSTREAM_EXPIRED,
)
from chicorypost.upstreams._keeper import Keeper
from chicorypost.upstreams._records import RecordStore
from chicorypost.upstreams._relay import Relays
from chicorypost.upstreams._settings import DirectorySettings
from chicorypost.upstreams._spread import MILLISECONDS, Spread
from chicorypost.upstreams._vouching import Vouching


@dataclass(frozen=True, slots=True)
class Announced(Event):
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
        self.keeper = Keeper(settings, instance)
        self.relays = Relays(settings, instance, data_centre)
        self.visible: dict[UpstreamId, Upstream] = {}
        self.vouching = Vouching(settings)
        self.tombstones: dict[UpstreamId, Instant] = {}
        self.spread = Spread(settings, self.store, self.relays, self.vouching)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        touched: set[UpstreamId] = set()
        self.keeper.review_lease(now)
        match event:
            case Announced(upstream, valid_for_seconds):
                effects = self._announced(upstream, valid_for_seconds, touched, now)
            case Received(sender, message):
                effects = self._received(sender, message, touched, now)
            case ViewChanged(view):
                effects = self._view_changed(view, now)
            case LeaseChanged(end):
                self.keeper.hold_lease(end, now)
                effects = []
            case _:
                effects = []
        if isinstance(event, Tick):
            effects += self._tick(touched, now)
        for name in self._review_vouching(effects, now):
            touched |= set(self.store.in_data_centre(name))
        return effects + self._show(touched)

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        own = (
            self.keeper.next_deadline(),
            self.relays.next_deadline(),
            self.spread.next_deadline(),
            self.vouching.next_deadline(),
        )
        known = (deadline for deadline in own if deadline is not None)
        return min((*known, *self.tombstones.values()), default=None)

    def upstreams_of(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the upstreams that announce a service, in order of id."""
        names = sorted(self.store.services.get(service, ()))
        return tuple(self.visible[name] for name in names if name in self.visible)

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream as it may be used now, or None."""
        return self.visible.get(upstream)

    def weight(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the share of its capacity that an upstream should get: 0 to 1.

        The same on all balancers that have the same record; 0 unless the upstream is ready.
        """
        shown = self.visible.get(upstream)
        if shown is None or shown.state is not UpstreamState.READY:
            return 0.0
        return (self.store.records[upstream].warmth + 1) / self.settings.slow_start_stages

    def refusal(self, upstream: Upstream) -> AnnouncementRefusal | None:
        """Return why an announcement is not taken, or None.

        `ENDPOINT_TAKEN` means that the upstream must not open its endpoints yet: its record is
        kept, but another upstream that claimed one of them has not been seen to end.
        """
        known = self.store.records.get(upstream.upstream)
        if known is not None:
            contradiction = find_contradiction(known.upstream, upstream)
            if contradiction is not None:
                return contradiction
        rivals = sorted(self.store.rivals(upstream))
        if rivals:
            detail = f"an endpoint is claimed by {rivals[0]}, it must be gone first"
            return AnnouncementRefusal(RefusalReason.ENDPOINT_TAKEN, detail)
        return None

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "records": [msgspec.to_builtins(record) for record in self.store.records.values()],
            "hidden": sorted(self._hidden()),
            "vouched_until": dict(self.vouching.until),
            "keeper": self.keeper.dump(),
            "relays": self.relays.dump(),
            "unconfirmed": sorted(self.spread.unconfirmed),
        }

    def _hidden(self) -> list[UpstreamId]:
        live = (name for name, record in self.store.records.items() if not record.gone)
        return [name for name in live if name not in self.visible]

    def _announced(
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.refusal(upstream)
        if refusal is not None and refusal.reason is not RefusalReason.ENDPOINT_TAKEN:
            return [refused(upstream, refusal.reason)]
        valid_seconds = min(max(valid_seconds, 0.0), self.settings.max_valid_seconds)
        keeper = self.keeper.owner(upstream)
        effects: list[Effect] = []
        if keeper is not None and keeper != self.instance:
            valid_ms = int(valid_seconds * MILLISECONDS)
            effects.append(Send(keeper, AnnouncementForwarded(upstream, valid_ms)))
        return effects + self._keep(upstream, valid_seconds, touched, now)

    def _keep(
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if valid_seconds <= 0:
            return self._end(upstream, touched, now)
        self.keeper.renew(upstream, Instant(now + valid_seconds), now)
        record = announced_record(known, upstream)
        if not self.store.is_news(record):
            return []
        return self._take([record], touched, now, report=True)

    def _end(self, upstream: Upstream, touched: set[UpstreamId], now: Instant) -> list[Effect]:
        known = self.store.records.get(upstream.upstream)
        if known is not None and known.upstream.incarnation > upstream.incarnation:
            return []
        revision = known.revision if known is not None else 0
        gone = DirectoryRecord(upstream, revision + 1, 0, gone=True)
        if known is not None and known.gone and known.upstream == upstream:
            return []
        return self._take([gone], touched, now, report=True)

    def _received(
        self, sender: InstanceId, message: Message, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        match message:
            case AnnouncementForwarded(upstream, valid_ms):
                return self._forwarded(upstream, valid_ms / MILLISECONDS, touched, now)
            case DirectoryReport(lines, records):
                effects = self._take(records, touched, now, report=False)
                return effects + self.spread.compare(sender, lines, now)
            case DirectoryUpdate(root, lines, records):
                sends = [Send(child, message) for child in self.relays.children(root)]
                effects = self._take(records, touched, now, report=False)
                return [*sends, *effects, *self.spread.compare(root, lines, now)]
            case DirectorySync(data_centre, buckets):
                return self.spread.repair(sender, data_centre, buckets)
            case DirectoryRepair(data_centre, numbers, records):
                return self._repaired(sender, data_centre, numbers, records, touched, now)
            case _:
                return []

    def _forwarded(
        self, upstream: Upstream, valid_seconds: float, touched: set[UpstreamId], now: Instant
    ) -> list[Effect]:
        refusal = self.refusal(upstream)
        if refusal is not None and refusal.reason is not RefusalReason.ENDPOINT_TAKEN:
            return [refused(upstream, refusal.reason)]
        return self._keep(upstream, valid_seconds, touched, now)

    def _view_changed(self, view: View, now: Instant) -> list[Effect]:
        self.relays.apply(view, now)
        live = [
            record.upstream
            for record in self.store.records.values()
            if not record.gone and record.upstream.data_centre == view.data_centre
        ]
        self.keeper.apply(view, live, now)
        return []

    def _tick(self, touched: set[UpstreamId], now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name in self.keeper.expired(now):
            effects += self._expire(name, touched, now)
        for name in self.keeper.warmed(now):
            effects += self._warm(name, touched, now)
        for name in [name for name, until in self.tombstones.items() if until <= now]:
            del self.tombstones[name]
            self.keeper.forget(self.store.records[name].upstream)
            self.store.remove(name, now)
        effects += self.spread.repeat(now)
        return effects + self.relays.flush(self.spread.lines(now), now)

    def _expire(self, name: UpstreamId, touched: set[UpstreamId], now: Instant) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.gone:
            return []
        upstream = record.upstream
        logged = UPSTREAM_EXPIRED.emit(upstream=name, incarnation=upstream.incarnation)
        return [logged, *self._end(upstream, touched, now)]

    def _warm(self, name: UpstreamId, touched: set[UpstreamId], now: Instant) -> list[Effect]:
        record = self.store.records.get(name)
        if record is None or record.gone:
            return []
        warmer = DirectoryRecord(
            record.upstream, record.revision + 1, self.keeper.warmth(name), gone=False
        )
        return self._take([warmer], touched, now, report=True)

    def _take(
        self,
        records: Iterable[DirectoryRecord],
        touched: set[UpstreamId],
        now: Instant,
        report: bool,
    ) -> list[Effect]:
        news: list[DirectoryRecord] = []
        for record in records:
            name = record.upstream.upstream
            if not self.store.is_news(record):
                continue
            self.spread.supersede(record)
            touched |= self._related(name)
            self.store.put(record, now)
            touched |= self._related(name)
            news.append(record)
            self.tombstones.pop(name, None)
            if record.gone:
                self.tombstones[name] = Instant(now + self.settings.tombstone_seconds)
            self.keeper.learned(record, now)
        if not news:
            return []
        self.relays.queue(news, now)
        return self.spread.report(news, now) if report else []

    def _related(self, name: UpstreamId) -> set[UpstreamId]:
        record = self.store.records.get(name)
        return {name} if record is None else {name} | self.store.rivals(record.upstream)

    def _review_vouching(self, effects: list[Effect], now: Instant) -> list[DataCentreId]:
        acts = self.relays.is_relay and self.keeper.acts(now)
        self.vouching.first_hand = self.data_centre if acts else None
        changed = self.vouching.review(self.spread.data_centres(), now)
        for data_centre in changed:
            vouched = data_centre in self.vouching.vouched
            spec = DIRECTORY_VOUCHED if vouched else DIRECTORY_UNVOUCHED
            effects.append(spec.emit(data_centre=data_centre))
        return changed

    def _repaired(
        self,
        sender: InstanceId,
        data_centre: DataCentreId,
        numbers: tuple[int, ...],
        records: tuple[DirectoryRecord, ...],
        touched: set[UpstreamId],
        now: Instant,
    ) -> list[Effect]:
        effects = self._take(records, touched, now, report=False)
        newer = self.spread.newer_than(data_centre, numbers, records)
        if newer:
            effects.append(Send(sender, DirectoryReport((), tuple(newer))))
        count = len(records)
        return [*effects, DIRECTORY_REPAIRED.emit(data_centre=data_centre, records=count)]

    def _show(self, touched: set[UpstreamId]) -> list[Effect]:
        changed: list[Upstream] = []
        removed: list[UpstreamId] = []
        effects: list[Effect] = []
        for name in sorted(touched):
            before, after = self.visible.get(name), self._shown(name, effects)
            if after is None:
                self.visible.pop(name, None)
            else:
                self.visible[name] = after
            if after is None and before is not None:
                removed.append(name)
            elif after is not None and after != before:
                changed.append(after)
        if changed or removed:
            effects.append(UpstreamsChanged(tuple(changed), tuple(removed)))
        return effects

    def _shown(self, name: UpstreamId, effects: list[Effect]) -> Upstream | None:
        record = self.store.records.get(name)
        if record is None or record.gone:
            return None
        upstream = record.upstream
        rivals = sorted(self.store.rivals(upstream))
        if rivals:
            endpoint = f"{upstream.requests.host}:{upstream.requests.port}"
            fields = {"upstream": name, "other": rivals[0], "endpoint": endpoint}
            effects.append(ENDPOINT_CONFLICT.emit(**fields))
            return None
        vouched = upstream.data_centre in self.vouching.vouched
        if vouched or upstream.state is not UpstreamState.READY:
            return upstream
        return msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
