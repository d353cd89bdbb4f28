"""Tests of the engine with a fake clock and scripted machines."""

from dataclasses import dataclass, field
from typing import Any

from chicorypost.base import Effect, Event, InstanceId, Instant, Send, Tick
from chicorypost.daemons import Engine, Registration
from chicorypost.transport import Heartbeat


@dataclass(frozen=True, slots=True)
class NumberedEvent(Event, Effect):
    """An event that is also an effect."""

    number: int


@dataclass
class ScriptedMachine:
    """Returns prepared effects and remembers what it was told."""

    replies: dict[Event, list[Effect]] = field(default_factory=dict)
    received: list[tuple[Event, float]] = field(default_factory=list)
    deadline: Instant | None = None

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        self.received.append((event, now))
        if isinstance(event, Tick):
            self.deadline = None
        return self.replies.get(event, [])

    def next_deadline(self) -> Instant | None:
        return self.deadline

    def dump(self) -> dict[str, Any]:
        return {"told": len(self.received)}


def make_engine(clock):
    sent: list[object] = []
    executed: list[object] = []
    engine = Engine(
        lambda to, message: sent.append((to, message)),
        lambda emit: None,
        executed.append,
        lambda: clock[0],
    )
    return engine, sent, executed


def test_effects_that_are_events_reach_every_machine_after_the_current_event():
    first = ScriptedMachine(
        {NumberedEvent(1): [NumberedEvent(2), Send(InstanceId("x"), Heartbeat(1))]}
    )
    second = ScriptedMachine()
    engine, sent, executed = make_engine([5.0])
    engine.add(Registration("first", first, (), (NumberedEvent,)))
    engine.add(Registration("second", second, (), (NumberedEvent,)))
    engine.post(NumberedEvent(1))
    assert [event for event, _ in second.received] == [NumberedEvent(1), NumberedEvent(2)]
    assert sent == [("x", Heartbeat(1))]
    assert executed == [NumberedEvent(2)]


def test_only_machines_whose_deadline_has_come_are_ticked():
    clock = [1.0]
    due, early = ScriptedMachine(deadline=Instant(2.0)), ScriptedMachine(deadline=Instant(3.0))
    engine, _, _ = make_engine(clock)
    engine.add(Registration("due", due))
    engine.add(Registration("early", early))
    engine.reschedule()
    assert engine.wake_at == 2.0
    clock[0] = 2.5
    engine.tick()
    assert due.received == [(Tick(), 2.5)]
    assert early.received == []
    assert engine.wake_at == 3.0


def test_the_clock_is_read_again_for_each_event():
    times = iter([1.0, 50.0])
    machine = ScriptedMachine({NumberedEvent(1): [NumberedEvent(2)]})
    engine = Engine(lambda *_: None, lambda _: None, lambda _: None, lambda: next(times))
    engine.register(Registration("machine", machine, (), (NumberedEvent,)))
    engine.post(NumberedEvent(1))
    assert machine.received == [(NumberedEvent(1), 1.0), (NumberedEvent(2), 50.0)]
