"""Event loop over state machines in simulated time, without a model of network, host or fabric.

The caller chooses when each message arrives and whether it is lost or duplicated.
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
    """Return the single delay with which every message is delivered once."""
    return (LATENCY_SECONDS,)


class MachineLoop:
    """Instances with one or more state machines each, driven by a priority queue of events.

    Parameters
    ----------
    delivery_delays : callable
        Returns the delays in seconds after which copies of a message arrive. An empty result
        drops the message.
    on_effect : callable
        Called with the instance, the effect and the time of each effect.
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
        """Start an instance, or restart it with new state machines."""
        self.generations[instance] = self.generations.get(instance, 0) + 1
        self.machines[instance] = list(machines)
        self.frozen_instances.pop(instance, None)
        self.scheduled_ticks.pop(instance, None)
        self._schedule_tick(instance)

    def crash_instance(self, instance: InstanceId) -> None:
        """Stop an instance immediately and discard its pending events."""
        self.machines.pop(instance, None)
        self.frozen_instances.pop(instance, None)
        self.generations[instance] += 1

    def freeze_instance(self, instance: InstanceId) -> None:
        """Suspend an instance and queue the events that arrive for it."""
        self.frozen_instances[instance] = []
        self.scheduled_ticks.pop(instance, None)

    def resume_instance(self, instance: InstanceId) -> None:
        """Resume a frozen instance and deliver the events queued for it."""
        queued_events = self.frozen_instances.pop(instance)
        for event in queued_events:
            self.deliver_event(instance, event)
        self._schedule_tick(instance)

    def deliver_event(self, instance: InstanceId, event: Event) -> None:
        """Deliver an event to all state machines of an instance, or queue it if frozen."""
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
        """Process events in order of time up to a given time in seconds."""
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
        set_deadlines = [deadline for deadline in deadlines if deadline is not None]
        if not set_deadlines:
            self.scheduled_ticks.pop(instance, None)
            return
        at = max(min(set_deadlines), self.now)
        if self.scheduled_ticks.get(instance) == at:
            return
        self.scheduled_ticks[instance] = at
        self._push_event(at, instance, Tick())
