"""The path of one packet: flow cache, slot table, then the data centre of the upstream."""

from chicorypost.base import Instant
from chicorypost.flows._interface import DROPPED, HELD, Decision, Dropped, DropReason, ForwardTo
from chicorypost.flows._state import RecentOpen, RouterState, ServiceState
from chicorypost.flows._table import SlotPhase
from chicorypost.flows._targets import Target


class PathSelector:
    """Chooses the path of packets from what this balancer knows by itself."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def decide(
        self, service: ServiceState, flow: int, opens: bool, now: Instant, hops: int
    ) -> Decision:
        """Choose what to do with a packet of a flow.

        Returns
        -------
        Decision
            `Held` when only the slot's owner, or a newer table, can tell.
        """
        state = self.state
        if not opens:
            index = state.cache.get(flow)
            if index is not None:
                return self._decide_cached(index, service, flow, hops)
        if state.domain is None:
            return self._pass_to_any_member(flow, hops)
        if opens and not service.ready_upstreams:
            return DROPPED[DropReason.NO_UPSTREAM]
        table = service.table
        if table is None or not service.usable:
            return HELD
        entry = table.entries[flow % len(table.entries)]
        if entry.phase is not SlotPhase.STABLE:
            return self._decide_moving(service, flow, opens, hops)
        if entry.default is None:
            return HELD if opens else DROPPED[DropReason.NO_UPSTREAM]
        target = state.targets.by_name.get(entry.default)
        if target is None:
            return HELD
        if opens:
            if not state.can_take_opens(entry.default, service, now):
                return HELD
            state.recent_opens.append(RecentOpen(now, service.service, flow, entry.default))
        decision = self._decide_for_target(target, service, flow, hops)
        if type(decision) is not Dropped:
            state.cache.put(flow, target.index)
        return decision

    def _decide_cached(self, index: int, service: ServiceState, flow: int, hops: int) -> Decision:
        decision = self._decide_for_target(self.state.targets.by_index[index], service, flow, hops)
        table = service.table
        if type(decision) is ForwardTo and table is not None and not table.moving:
            service.direct_forwards[index] = decision
        return decision

    def _pass_to_any_member(self, flow: int, hops: int) -> Decision:
        """Pass a packet to any member: this balancer is not, or no longer, in its view."""
        members = list(self.state.pass_by_instance.values())
        if not members or hops >= self.state.settings.max_hops:
            return HELD
        return members[flow % len(members)]

    def _decide_moving(self, service: ServiceState, flow: int, opens: bool, hops: int) -> Decision:
        """Find the path of a flow that only the owner of its moving slot can place.

        Notes
        -----
        The owner itself looks up packets of flows under way. Another balancer passes the packet on
        to the owner, or asks it where the packet was passed on before.
        """
        state = self.state
        assert service.table is not None
        slot = flow % len(service.table.entries)
        owners = state.owners(service.service, slot)
        if not owners:
            return HELD
        if owners[0] == state.instance:
            return (
                HELD
                if opens or not state.synced
                else self._decide_as_owner(service, slot, flow, hops)
            )
        if hops > 0 or not state.settings.pass_to_owner:
            return HELD
        state.counters["passed-to-owner"] += 1
        return state.pass_by_instance[owners[0]]

    def _decide_as_owner(self, service: ServiceState, slot: int, flow: int, hops: int) -> Decision:
        """Find where a flow of an owned slot belongs."""
        state = self.state
        assert service.table is not None
        name = state.register.get(service.service, slot, flow)
        name = name or service.table.entries[slot].default
        target = None if name is None else state.targets.by_name.get(name)
        if target is None:
            return HELD
        state.cache.put(flow, target.index)
        return self._decide_for_target(target, service, flow, hops)

    def _decide_for_target(
        self, target: Target, service: ServiceState, flow: int, hops: int
    ) -> Decision:
        state = self.state
        if not target.is_live:
            return DROPPED[DropReason.UPSTREAM_GONE]
        if not target.is_selected_by(service.spec.selector):
            return DROPPED[DropReason.WRONG_SERVICE]
        table = service.table
        if table is not None and table.moving:
            slot = flow % len(table.entries)
            if slot in table.moving:
                self._note_noncurrent(service, slot, target)
        if target.upstream.data_centre == state.data_centre:
            return target.forward_decision
        passes = state.passes_by_data_centre.get(target.upstream.data_centre)
        if not passes:
            return DROPPED[DropReason.UNREACHABLE]
        if hops >= state.settings.max_hops:
            return DROPPED[DropReason.TOO_MANY_HOPS]
        return passes[flow % len(passes)]

    def _note_noncurrent(self, service: ServiceState, slot: int, target: Target) -> None:
        """Note that a moving slot still has flows on another upstream than the current one."""
        assert service.table is not None
        if target.upstream.upstream != service.table.entries[slot].current:
            service.noncurrent_slots_seen.add(slot)
