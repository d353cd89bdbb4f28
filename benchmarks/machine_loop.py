"""A plain loop over state machines with fake time: no network, host or fabric is modelled.

The caller decides for each message when it arrives, if at all.
"""

import heapq
from collections.abc import Callable, Iterable
from typing import Any

from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    LeaseChanged,
    Message,
    Received,
    Send,
    StateMachine,
    Tick,
    UpstreamsChanged,
    ViewChanged,
)

Route = Callable[[InstanceId, InstanceId, Message], Iterable[float]]
SHARED = (ViewChanged, LeaseChanged, UpstreamsChanged)
LATENCY_SECONDS = 0.001


def direct(sender: InstanceId, to: InstanceId, message: Message) -> Iterable[float]:
    """Deliver every message once after one millisecond."""
    return (LATENCY_SECONDS,)


class MachineLoop:
    """Instances with one or more state machines each, driven by a heap of events.

    Parameters
    ----------
    route : callable
        Gives the delays after which copies of a message arrive; none loses it.
    observe : callable
        Is told of each effect with its instance and time.
    """

    def __init__(
        self,
        route: Route = direct,
        observe: Callable[[InstanceId, Effect, Instant], None] = lambda *_: None,
    ) -> None:
        self.route = route
        self.observe = observe
        self.now = Instant(0.0)
        self.machines: dict[InstanceId, list[Any]] = {}
        self.frozen: dict[InstanceId, list[Event]] = {}
        self.heap: list[tuple[float, int, InstanceId, int, Event]] = []
        self.generations: dict[InstanceId, int] = {}
        self.ticks: dict[InstanceId, float] = {}
        self.count = 0

    def add(self, instance: InstanceId, *machines: StateMachine) -> None:
        """Start an instance, or start it again with new machines."""
        self.generations[instance] = self.generations.get(instance, 0) + 1
        self.machines[instance] = list(machines)
        self.frozen.pop(instance, None)
        self.ticks.pop(instance, None)
        self._schedule(instance)

    def kill(self, instance: InstanceId) -> None:
        """Stop an instance at once."""
        self.machines.pop(instance, None)
        self.frozen.pop(instance, None)
        self.generations[instance] += 1

    def freeze(self, instance: InstanceId) -> None:
        """Stop an instance for a while; what arrives waits."""
        self.frozen[instance] = []
        self.ticks.pop(instance, None)

    def thaw(self, instance: InstanceId) -> None:
        """Let a frozen instance go on."""
        waiting = self.frozen.pop(instance)
        for event in waiting:
            self.give(instance, event)
        self._schedule(instance)

    def give(self, instance: InstanceId, event: Event) -> None:
        """Hand an event to all machines of an instance now."""
        if instance in self.frozen:
            self.frozen[instance].append(event)
            return
        events = [event]
        while events:
            event = events.pop(0)
            for machine in list(self.machines.get(instance, ())):
                for effect in machine.handle(event, self.now):
                    self._carry_out(instance, effect, events)
        self._schedule(instance)

    def run(self, until: float) -> None:
        """Advance fake time."""
        while self.heap and self.heap[0][0] <= until:
            at, _, instance, generation, event = heapq.heappop(self.heap)
            self.now = Instant(max(at, self.now))
            if generation != self.generations.get(instance):
                continue
            if isinstance(event, Tick):
                if self.ticks.get(instance) != at:
                    continue
                del self.ticks[instance]
            self.give(instance, event)
        self.now = Instant(until)

    def _carry_out(self, instance: InstanceId, effect: Effect, events: list[Event]) -> None:
        self.observe(instance, effect, self.now)
        if isinstance(effect, SHARED):
            events.append(effect)
        if isinstance(effect, Send):
            for delay in self.route(instance, effect.to, effect.message):
                received = Received(instance, effect.message)
                self._push(self.now + delay, effect.to, received)

    def _push(self, at: float, instance: InstanceId, event: Event) -> None:
        self.count += 1
        generation = self.generations.get(instance, 0)
        heapq.heappush(self.heap, (at, self.count, instance, generation, event))

    def _schedule(self, instance: InstanceId) -> None:
        if instance in self.frozen:
            return
        deadlines = [machine.next_deadline() for machine in self.machines.get(instance, ())]
        known = [deadline for deadline in deadlines if deadline is not None]
        if not known:
            self.ticks.pop(instance, None)
            return
        at = max(min(known), self.now)
        if self.ticks.get(instance) == at:
            return
        self.ticks[instance] = at
        self._push(at, instance, Tick())
