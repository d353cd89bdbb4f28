"""The flow router of one balancer."""

import math
import random
from collections import deque
from typing import Any

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
    UpstreamsChanged,
    View,
    ViewChanged,
    hash64,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.flows._coordinator import SlotCoordinator
from chicorypost.flows._domain import Domain
from chicorypost.flows._events import DOMAIN_ADOPTED, LEASE_LAPSED
from chicorypost.flows._interface import (
    DROPPED,
    HELD,
    Decision,
    Dropped,
    DropReason,
    PassTo,
    ReachableChanged,
    ReleaseHeld,
)
from chicorypost.flows._lookups import PendingLookups
from chicorypost.flows._messages import (
    FlowLookupReply,
    FlowLookupRequest,
    FlowsStored,
    SlotActivity,
    SlotTableConfirmation,
    SlotTableRequest,
    SlotTableUpdate,
    StateReply,
    StateRequest,
    StoreFlows,
    pack_ages,
)
from chicorypost.flows._owner import SlotOwner
from chicorypost.flows._packet import BadPacket, ParsedPacket
from chicorypost.flows._path_selector import PathSelector
from chicorypost.flows._register import FlowRegister
from chicorypost.flows._settings import FlowSettings
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._sync import DomainSync

UNKNOWN_TARGET = -1


class FlowRouter:
    """Chooses the upstream of each packet so that flows keep their upstream while slots move.

    Parameters
    ----------
    settings : FlowSettings
        Limits and intervals.
    self_instance : InstanceId
        The balancer that this router belongs to.
    data_centre : DataCentreId
        The data centre of the balancer.
    random : random.Random
        Source of randomness.
    now : Instant
        Current time.

    Notes
    -----
    A packet is looked up in the flow cache, then in the slot table. If the slot is moving and the
    flow is not cached, the slot's owner decides. Packets are forwarded only under a live lease, and
    only by a table that includes every move that may have been completed without this balancer's
    confirmation.
    """

    def __init__(
        self,
        settings: FlowSettings,
        self_instance: InstanceId,
        data_centre: DataCentreId,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.state = RouterState(settings, self_instance, data_centre, random, now)
        self.path_selector = PathSelector(self.state)
        self.sync = DomainSync(self.state)
        self.owner = SlotOwner(self.state)
        self.coordinator = SlotCoordinator(self.state, self.sync)
        self.lookups = PendingLookups(self.state, self.path_selector.decide)
        self.activity_report_at: Instant | None = None

    def route(self, packet: ParsedPacket, now: Instant, hops: int = 0) -> Decision:
        """Choose what to do with a packet.

        Parameters
        ----------
        packet : ParsedPacket
            The packet. The router holds it when the decision is `Held`.
        now : Instant
            Current time.
        hops : int, default 0
            Number of balancers that have passed the packet on.

        Returns
        -------
        Decision
            Decision on the packet. Held packets are released by a `ReleaseHeld` effect.
        """
        state = self.state
        if now >= state.lease_end:
            return self._count_drop(DROPPED[DropReason.NO_LEASE])
        service = state.services_by_address.get(packet.address)
        if service is None:
            return self._count_drop(DROPPED[DropReason.UNKNOWN_ADDRESS])
        flow = hash64(packet.flow)
        if not packet.opens:
            # Fast path: most packets are of cached flows in services without moving slots.
            direct = service.direct_forwards.get(state.cache.young.get(flow, UNKNOWN_TARGET))
            if direct is not None:
                return direct
        decision = self.path_selector.decide(service, flow, packet.opens, now, hops)
        if decision is HELD:
            state.counters["held-packets"] += 1
            decision = self.lookups.hold_packet(packet, flow, service, now, hops)
        if type(decision) is Dropped:
            return self._count_drop(decision)
        return decision

    def count_refused(self, packet: BadPacket) -> None:
        """Count a packet that could not be parsed."""
        self.state.counters[f"refused-{packet.fault.value}"] += 1

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Handle one event and return its effects.

        Parameters
        ----------
        event : Event
            `Received`, `Tick`, `ViewChanged`, `LeaseChanged`, `UpstreamsChanged`,
            `ConfigurationApplied` or `ReachableChanged`.
        now : Instant
            Current time.

        Returns
        -------
        list of Effect
            `Send`, `Emit` and `ReleaseHeld` effects, in the order in which to apply them.
        """
        for service in self.state.services.values():
            service.direct_forwards.clear()
        pending = deque(self._dispatch(event, now))
        pending.extend(self._flush(now))
        effects: list[Effect] = []
        while pending:
            effect = pending.popleft()
            if isinstance(effect, Send) and effect.to == self.state.instance:
                pending.extend(self._receive(effect.to, effect.message, now))
                continue
            if isinstance(effect, ReleaseHeld) and isinstance(effect.decision, Dropped):
                for _ in effect.packets:
                    self._count_drop(effect.decision)
            effects.append(effect)
        return effects

    def next_deadline(self) -> Instant | None:
        """Return the time at which the router next needs a `Tick`, or None."""
        deadlines: tuple[float | None, ...] = (
            self.lookups.flush_at,
            self.owner.flush_at,
            self.sync.retry_at,
            self.coordinator.retry_at,
            self.coordinator.plan_at if self.state.synced else None,
            self.activity_report_at,
            self.state.cache.rotate_at,
        )
        pending_deadlines = [deadline for deadline in deadlines if deadline is not None]
        return Instant(min(pending_deadlines)) if pending_deadlines else None

    def dump(self) -> dict[str, Any]:
        """Return the routing state as JSON-compatible values."""
        state = self.state
        domain = state.domain
        return {
            "domain": None if domain is None else domain.fingerprint,
            "members": [] if domain is None else sorted(domain.members),
            "synced": state.synced,
            "lease_end": state.lease_end if math.isfinite(state.lease_end) else None,
            "services": {name: _dump_service(state, s) for name, s in state.services.items()},
            "cached_flows": len(state.cache),
            "registered_flows": state.register.size,
            "held_packets": self.lookups.packet_count,
            "counters": dict(state.counters),
        }

    def _dispatch(self, event: Event, now: Instant) -> list[Effect]:
        match event:
            case Received(sender, message):
                return self._receive(sender, message, now)
            case LeaseChanged(end):
                return self._update_lease(end, now)
            case ViewChanged(view):
                return self._update_view(view, now)
            case ReachableChanged(data_centres):
                self.state.reachable_data_centres = data_centres
                return self._adopt_domain(now)
            case UpstreamsChanged(changed, removed):
                self.state.targets.update(changed, removed, now)
                self._refresh_upstreams(now)
            case ConfigurationApplied(_, document):
                return self._apply_configuration(document, now)
        return []

    def _receive(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case FlowLookupRequest():
                return self.owner.handle_lookup(sender, message, now)
            case FlowLookupReply():
                return self.lookups.handle_reply(message, now)
            case StoreFlows():
                return self.owner.handle_store(sender, message)
            case FlowsStored():
                return self.owner.handle_stored(sender, message)
            case SlotTableUpdate():
                effects = self.sync.handle_update(message, now)
                self.lookups.retry_now(now)
                return effects
            case SlotTableConfirmation():
                return self.sync.handle_confirmation(sender, message)
            case SlotTableRequest():
                return self.coordinator.handle_table_request(sender, message)
            case StateRequest():
                return self.sync.handle_state_request(sender, message)
            case StateReply():
                effects = self.sync.handle_state_reply(sender, message, now)
                if effects:
                    self.coordinator.retry_at = now
                return effects
            case SlotActivity():
                self.coordinator.handle_activity(sender, message, now)
        return []

    def _flush(self, now: Instant) -> list[Effect]:
        self.state.cache.expire(now)
        effects = self.lookups.flush(now)
        effects.extend(self.owner.flush(now))
        effects.extend(self.sync.flush(now))
        effects.extend(self.coordinator.flush(now))
        effects.extend(self._report_activity(now))
        return effects

    def _update_lease(self, end: Instant | None, now: Instant) -> list[Effect]:
        state = self.state
        lapsed = now >= state.lease_end
        state.lease_end = -math.inf if end is None else end
        if end is None:
            return self.lookups.drop_all(DropReason.NO_LEASE)
        if not lapsed:
            return []
        state.cache.clear()
        event = LEASE_LAPSED.emit(services=len(state.services))
        return [event, *self._restart_sync(now)] if state.domain is not None else []

    def _restart_sync(self, now: Instant) -> list[Effect]:
        """Fetch the tables again, as moves may have been confirmed without this instance."""
        for service in self.state.services.values():
            service.usable = False
        self.sync.synced_domain = None
        self.owner.adopt_domain(now)
        self.coordinator.adopt_domain(now)
        return self.sync.start(now)

    def _update_view(self, view: View, now: Instant) -> list[Effect]:
        installed = self.state.views.get(view.data_centre)
        if installed is not None and installed.epoch >= view.epoch:
            return []
        self.state.views[view.data_centre] = view
        return self._adopt_domain(now)

    def _adopt_domain(self, now: Instant) -> list[Effect]:
        state = self.state
        before, domain = state.domain, self._build_domain()
        if before is not None and domain is not None and before.fingerprint == domain.fingerprint:
            return []
        state.domain = domain
        self._rebuild_passes()
        state.count_ready_upstreams()
        if domain is None:
            state.synced = False
            state.register = FlowRegister()
            for service in state.services.values():
                service.usable = False
            return []
        event = DOMAIN_ADOPTED.emit(
            domain=domain.fingerprint,
            members=len(domain.members),
            data_centres=len(domain.data_centres),
        )
        self.lookups.retry_now(now)
        if self._must_restart_sync(before, domain):
            return [event, *self._restart_sync(now)]
        self.owner.adopt_domain(now)
        self.coordinator.adopt_domain(now)
        return [event, *self.sync.start(now)]

    def _must_restart_sync(self, before: Domain | None, domain: Domain) -> bool:
        """Return whether slots may have moved without this instance, as in a network partition."""
        return before is None or not domain.data_centres <= before.data_centres

    def _build_domain(self) -> Domain | None:
        state = self.state
        domain = Domain(state.reachable_views())
        return domain if state.instance in domain.members else None

    def _rebuild_passes(self) -> None:
        self.state.passes_by_data_centre.clear()
        self.state.pass_by_instance.clear()
        members = [m for view in self.state.reachable_views() for m in view.members]
        for member in members:
            if member.instance != self.state.instance:
                pass_to = self.state.pass_by_instance[member.instance] = PassTo(member)
                self.state.passes_by_data_centre.setdefault(member.data_centre, []).append(pass_to)

    def _refresh_upstreams(self, now: Instant) -> None:
        self.state.count_ready_upstreams()
        self.coordinator.schedule_plan(now)
        self.lookups.retry_now(now)

    def _apply_configuration(self, document: ConfigurationDocument, now: Instant) -> list[Effect]:
        state = self.state
        added = False
        for name in list(state.services):
            if name not in document.services:
                del state.services[name]
        for name, spec in document.services.items():
            existing = state.services.get(name)
            if existing is None:
                state.services[name] = ServiceState(name, spec)
                added = True
            else:
                existing.spec = spec
        state.services_by_address = {
            address: state.services[name]
            for name, spec in document.services.items()
            for address in spec.addresses
        }
        self._refresh_upstreams(now)
        return self.sync.start(now) if added and state.domain is not None else []

    def _report_activity(self, now: Instant) -> list[Effect]:
        """Report to the coordinators which moving slots still have older flows."""
        if self.activity_report_at is None:
            self.activity_report_at = Instant(now + self.settings.activity_report_seconds)
        if now < self.activity_report_at or self.state.domain is None:
            return []
        self.activity_report_at = Instant(now + self.settings.activity_report_seconds)
        effects: list[Effect] = []
        for service in self.state.services.values():
            table = service.table
            service.note_activity(now, self.settings.settle_idle_seconds)
            if table is None or not table.moving:
                continue
            coordinator = self.state.domain.coordinator(service.service)
            ages = pack_ages((slot, now - at) for slot, at in service.noncurrent_last_seen.items())
            message = SlotActivity(self.state.domain.fingerprint, service.service, ages)
            effects.append(Send(coordinator, message))
        return effects

    def _count_drop(self, decision: Decision) -> Decision:
        assert isinstance(decision, Dropped)
        self.state.counters[f"dropped-{decision.reason.value}"] += 1
        return decision


def _dump_service(state: RouterState, service: ServiceState) -> dict[str, Any]:
    table = service.table
    if table is None:
        return {"usable": False, "ready_upstreams": service.ready_upstreams}
    slots_by_upstream: dict[str, int] = {}
    for entry in table.entries:
        slots_by_upstream[str(entry.current)] = slots_by_upstream.get(str(entry.current), 0) + 1
    return {
        "usable": service.usable,
        "version": table.version,
        "confirmed_by_all": state.min_confirmed_version(service),
        "slots": dict(sorted(slots_by_upstream.items())),
        "moving_slots": sorted(table.moving),
        "ready_upstreams": service.ready_upstreams,
    }
