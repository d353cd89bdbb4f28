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

DelayFunction = Callable[[InstanceId, InstanceId, Message], Iterable[float]]
SHARED_EVENTS = (ViewChanged, LeaseChanged, UpstreamsChanged)
LATENCY_SECONDS = 0.001


def deliver_once(sender: InstanceId, to: InstanceId, message: Message) -> Iterable[float]:
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
        delivery_delays: DelayFunction = deliver_once,
        on_effect: Callable[[InstanceId, Effect, Instant], None] = lambda *_: None,
    ) -> None:
        self.delivery_delays = delivery_delays
        self.on_effect = on_effect
        self.now = Instant(0.0)
        self.machines: dict[InstanceId, list[Any]] = {}
        self.frozen_instances: dict[InstanceId, list[Event]] = {}
        self.event_queue: list[tuple[float, int, InstanceId, int, Event]] = []
        self.generations: dict[InstanceId, int] = {}
        self.scheduled_ticks: dict[InstanceId, float] = {}
        self.count = 0

    def start_instance(self, instance: InstanceId, *machines: StateMachine) -> None:
        """Start an instance, or start it again with new machines."""
        self.generations[instance] = self.generations.get(instance, 0) + 1
        self.machines[instance] = list(machines)
        self.frozen_instances.pop(instance, None)
        self.scheduled_ticks.pop(instance, None)
        self._schedule_tick(instance)

    def crash_instance(self, instance: InstanceId) -> None:
        """Stop an instance at once."""
        self.machines.pop(instance, None)
        self.frozen_instances.pop(instance, None)
        self.generations[instance] += 1

    def freeze_instance(self, instance: InstanceId) -> None:
        """Stop an instance for a while; what arrives waits."""
        self.frozen_instances[instance] = []
        self.scheduled_ticks.pop(instance, None)

    def resume_instance(self, instance: InstanceId) -> None:
        """Let a frozen instance go on."""
        waiting = self.frozen_instances.pop(instance)
        for event in waiting:
            self.deliver_event(instance, event)
        self._schedule_tick(instance)

    def deliver_event(self, instance: InstanceId, event: Event) -> None:
        """Hand an event to all machines of an instance now."""
        if instance in self.frozen_instances:
            self.frozen_instances[instance].append(event)
            return
        events = [event]
        while events:
            event = events.pop(0)
            for machine in list(self.machines.get(instance, ())):
                for effect in machine.handle(event, self.now):
                    self._apply_effect(instance, effect, events)
        self._schedule_tick(instance)

    def run_until(self, until: float) -> None:
        """Advance fake time."""
        while self.event_queue and self.event_queue[0][0] <= until:
            at, _, instance, generation, event = heapq.heappop(self.event_queue)
            self.now = Instant(max(at, self.now))
            if generation != self.generations.get(instance):
                continue
            if isinstance(event, Tick):
                if self.scheduled_ticks.get(instance) != at:
                    continue
                del self.scheduled_ticks[instance]
            self.deliver_event(instance, event)
        self.now = Instant(until)

    def _apply_effect(self, instance: InstanceId, effect: Effect, events: list[Event]) -> None:
        self.on_effect(instance, effect, self.now)
        if isinstance(effect, SHARED_EVENTS):
            events.append(effect)
        if isinstance(effect, Send):
            for delay in self.delivery_delays(instance, effect.to, effect.message):
                received = Received(instance, effect.message)
                self._push_event(self.now + delay, effect.to, received)

    def _push_event(self, at: float, instance: InstanceId, event: Event) -> None:
        self.count += 1
        generation = self.generations.get(instance, 0)
        heapq.heappush(self.event_queue, (at, self.count, instance, generation, event))

    def _schedule_tick(self, instance: InstanceId) -> None:
        if instance in self.frozen_instances:
            return
        deadlines = [machine.next_deadline() for machine in self.machines.get(instance, ())]
        known = [deadline for deadline in deadlines if deadline is not None]
        if not known:
            self.scheduled_ticks.pop(instance, None)
            return
        at = max(min(known), self.now)
        if self.scheduled_ticks.get(instance) == at:
            return
        self.scheduled_ticks[instance] = at
        self._push_event(at, instance, Tick())
