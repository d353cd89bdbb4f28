"""State shared by the components of a flow router."""

import math
import random
from collections import Counter, deque
from typing import NamedTuple

from chicorypost.base import (
    Address,
    DataCentreId,
    InstanceId,
    Instant,
    ServiceId,
    UpstreamId,
    View,
)
from chicorypost.configuration import ServiceSpec
from chicorypost.flows._cache import FlowCache
from chicorypost.flows._domain import Domain, bucket_of
from chicorypost.flows._interface import ForwardTo, PassTo
from chicorypost.flows._messages import NO_TABLE
from chicorypost.flows._register import FlowRegister
from chicorypost.flows._settings import FlowSettings
from chicorypost.flows._table import SlotEntry, SlotTable
from chicorypost.flows._targets import Target, Targets

MAX_RECENT_OPENS = 65_536


class RecentOpen(NamedTuple):
    """An open that was placed on the default of a stable slot and is not in the register."""

    placed_at: Instant
    service: ServiceId
    flow: int
    upstream: UpstreamId


class ServiceState:
    """One configured service with its slot table."""

    def __init__(self, service: ServiceId, spec: ServiceSpec) -> None:
        self.service = service
        self.spec = spec
        self.table: SlotTable | None = None
        self.usable = False
        """Whether the table is recent enough for membership in the domain."""
        self.confirmed: dict[InstanceId, int] = {}
        self.ready_upstreams = 0
        self.early_placements: dict[int, UpstreamId] = {}
        """Placements received before the first table; its size is needed to compute their slots."""
        self.noncurrent_slots_seen: set[int] = set()
        """Moving slots with packets for a non-current upstream since the last `note_activity`."""
        self.noncurrent_last_seen: dict[int, Instant] = {}
        """Time at which `note_activity` last found each slot in `noncurrent_slots_seen`."""
        self.direct_forwards: dict[int, ForwardTo] = {}
        """Decisions for cached flows, by target index, valid until the next event."""

    def confirmable_version(self) -> int:
        """Return the version that this instance can confirm, or `NO_TABLE`."""
        return self.table.version if self.table is not None and self.usable else NO_TABLE

    def note_activity(self, now: Instant, horizon_seconds: float) -> None:
        """Set the last-seen time of the slots in `noncurrent_slots_seen` and clear that set.

        Slots that are stable or were last seen `horizon_seconds` ago or earlier are removed.
        """
        moving = self.table.moving if self.table is not None else set()
        self.noncurrent_last_seen.update(dict.fromkeys(self.noncurrent_slots_seen & moving, now))
        self.noncurrent_slots_seen.clear()
        self.noncurrent_last_seen = {
            slot: at
            for slot, at in self.noncurrent_last_seen.items()
            if slot in moving and now - at < horizon_seconds
        }

    def entry(self, slot: int) -> SlotEntry | None:
        """Return the state of a slot, or None when there is no usable table."""
        return self.table.entries[slot] if self.table is not None and self.usable else None


class RouterState:
    """State that the components of one flow router read and change."""

    def __init__(
        self,
        settings: FlowSettings,
        instance: InstanceId,
        data_centre: DataCentreId,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.data_centre = data_centre
        self.random = random
        self.lease_end: float = -math.inf
        self.services: dict[ServiceId, ServiceState] = {}
        self.services_by_address: dict[Address, ServiceState] = {}
        self.targets = Targets()
        self.cache = FlowCache(settings.cached_flows, settings.cache_idle_seconds, now)
        self.views: dict[DataCentreId, View] = {}
        self.reachable_data_centres: frozenset[DataCentreId] | None = None
        self.domain: Domain | None = None
        self.synced = False
        self.passes_by_data_centre: dict[DataCentreId, list[PassTo]] = {}
        self.pass_by_instance: dict[InstanceId, PassTo] = {}
        self.register = FlowRegister()
        self.recent_opens: deque[RecentOpen] = deque(maxlen=MAX_RECENT_OPENS)
        self.counters: Counter[str] = Counter()

    def reachable_views(self) -> list[View]:
        """Return the latest views of the reachable data centres."""
        return [
            view
            for name, view in self.views.items()
            if self.reachable_data_centres is None or name in self.reachable_data_centres
        ]

    def is_current_domain(self, fingerprint: int) -> bool:
        """Return whether a fingerprint is that of the current domain."""
        return self.domain is not None and self.domain.fingerprint == fingerprint

    def other_members(self) -> list[InstanceId]:
        """Return the other members of the domain."""
        if self.domain is None:
            return []
        return [name for name in self.domain.members if name != self.instance]

    def owners(self, service: ServiceId, slot: int) -> tuple[InstanceId, ...]:
        """Return the owner and the backup of a slot, or nothing without a domain."""
        return () if self.domain is None else self.domain.owners(bucket_of(service, slot))

    def is_owner(self, service: ServiceId, slot: int) -> bool:
        """Return whether this instance is the owner of a slot."""
        return self.owners(service, slot)[:1] == (self.instance,)

    def is_coordinator(self, service: ServiceId) -> bool:
        """Return whether this instance is the coordinator of a service and is synced."""
        return (
            self.synced
            and self.domain is not None
            and self.domain.coordinator(service) == self.instance
        )

    def min_confirmed_version(self, service: ServiceState) -> int:
        """Return the highest table version that every member of the domain has confirmed."""
        floor = service.confirmable_version()
        for name in self.other_members():
            floor = min(floor, service.confirmed.get(name, NO_TABLE))
        return floor

    def is_reachable(self, target: Target) -> bool:
        """Return whether the data centre of an upstream has balancers in the domain."""
        return self.domain is not None and target.upstream.data_centre in self.domain.data_centres

    def can_take_opens(self, name: UpstreamId | None, service: ServiceState, now: Instant) -> bool:
        """Return whether an upstream can take new flows of a service."""
        target = None if name is None else self.targets.by_name.get(name)
        return (
            target is not None
            and now < target.opens_until
            and target.is_selected_by(service.spec.selector)
            and self.is_reachable(target)
        )

    def count_ready_upstreams(self) -> None:
        """Count the upstreams of each service that take new flows without a time limit."""
        for service in self.services.values():
            service.ready_upstreams = sum(
                target.opens_until == math.inf and self.is_reachable(target)
                for target in self.targets.selected(service.spec.selector)
            )

    def expire_recent_opens(self, now: Instant) -> None:
        """Remove opens that clients no longer retransmit."""
        oldest = now - self.settings.open_retransmission_seconds
        while self.recent_opens and self.recent_opens[0].placed_at < oldest:
            self.recent_opens.popleft()

    def recent_opens_in(self, service: ServiceState, slots: set[int]) -> list[RecentOpen]:
        """Return the recent opens in some slots of a service."""
        table = service.table
        if table is None or not slots:
            return []
        count = len(table.entries)
        return [
            opened
            for opened in self.recent_opens
            if opened.service == service.service and opened.flow % count in slots
        ]

    def store_placement(self, service: ServiceState, flow: int, upstream: UpstreamId) -> None:
        """Store a placement in the register.

        Notes
        -----
        The sender may have applied a move that has not arrived here, so a placement is stored even
        if the slot is stable here. It is removed when an update reports the slot as stable.
        """
        if service.table is None:
            service.early_placements[flow] = upstream
            return
        self.register.put(service.service, flow % len(service.table.entries), flow, upstream)
