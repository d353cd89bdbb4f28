"""One malformed message or unexpected error costs one exchange, not the process."""

from random import Random

import msgspec
import pytest

from chicorypost.announcements import (
    REGISTRY_MESSAGES,
    VIEW_MESSAGES,
    AnnouncementRegistry,
    AnnouncementSettings,
    DirectoryView,
)
from chicorypost.base import InstanceId, Instant, Message, Version
from chicorypost.daemons import EventDispatcher, Registration, message_types_in
from chicorypost.evacuation import NO_EVACUATIONS
from chicorypost.events import Emit
from chicorypost.roles._event_log import EventLog
from chicorypost.roles.tests.test_startup_balancer import StartupScenario
from chicorypost.routing import NO_VERSION, RoutingChange, RoutingDocument

PEER = InstanceId("10.0.0.2:80")
SETTINGS = AnnouncementSettings()
EMPTY_DOCUMENT = RoutingDocument(Version(1), (), (), 15.0)
EMPTY_CHANGE = RoutingChange(NO_VERSION, NO_VERSION, (), (), (), (), 15.0, 0)


def make_dispatcher(machine, messages):
    log: list[Emit] = []
    dispatcher = EventDispatcher(lambda *_: None, log.append, lambda _: None, lambda: 1.0)
    dispatcher.register(Registration("tested", machine, messages, (), isolates_errors=True))
    return dispatcher, log


def make_message(message_type: type[Message]) -> Message:
    """Return a message of a type with empty fields, as a peer of another build might send it."""
    values = {
        "tuple": (),
        "bool": False,
        "RoutingDocument": EMPTY_DOCUMENT,
        "RoutingChange": EMPTY_CHANGE,
        "Evacuations": NO_EVACUATIONS,
    }
    names = [
        str(getattr(field.type, "__name__", field.type)).split("[")[0]
        for field in msgspec.structs.fields(message_type)
    ]
    # Optional fields are written with the module of their type: `module.Type | None`.
    short_names = [name.removesuffix(" | None").rpartition(".")[2] for name in names]
    return message_type(*[values.get(name, 0) for name in short_names])


@pytest.mark.parametrize("message_type", message_types_in(range(800, 900)))
@pytest.mark.parametrize(
    ("machine", "messages"),
    [
        (AnnouncementRegistry(SETTINGS, 7, Instant(0.0)), REGISTRY_MESSAGES),
        (DirectoryView(SETTINGS, (PEER,), Instant(0.0)), VIEW_MESSAGES),
    ],
)
def test_any_message_of_the_feed_is_handled_or_ignored(machine, messages, message_type):
    """A control instance that was sent a page of a feed ended, with all calls in progress."""
    dispatcher, log = make_dispatcher(machine, messages)
    dispatcher.receive(PEER, make_message(message_type))
    ignored = [event.spec.name for event in log]
    assert ignored == ([] if message_type in messages else ["message-unexpected"])


class FailingMachine:
    """State machine that fails on every event."""

    def handle(self, event, now):
        raise AssertionError("two owners of a slot")

    def next_deadline(self):
        return Instant(0.0)

    def dump(self):
        return {}


def test_error_of_a_machine_costs_one_event_and_pauses_its_ticks():
    dispatcher, log = make_dispatcher(FailingMachine(), REGISTRY_MESSAGES)
    dispatcher.tick()
    dispatcher.tick()
    assert [event.spec.name for event in log] == ["unexpected-error"]


def test_error_of_a_machine_that_does_not_isolate_stops_the_process():
    dispatcher = EventDispatcher(lambda *_: None, print, print, lambda: 1.0)
    dispatcher.register(Registration("tested", FailingMachine()))
    with pytest.raises(AssertionError):
        dispatcher.tick()


def test_error_on_a_packet_costs_that_packet(monkeypatch):
    log = EventLog()
    scenario = StartupScenario()
    core = scenario.balancer.core
    core.event_log = log
    dispatcher = EventDispatcher(lambda *_: None, log.emit, lambda _: None, lambda: 1.0)

    def fail(now):
        raise IndexError(Random(1).random())

    monkeypatch.setattr(core.forwarder, "forward_batch", fail)
    core.forward_batch(dispatcher)
    assert log.counts_by_name() == {"unexpected-error": 1}
    scenario.close()
