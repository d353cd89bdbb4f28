"""A starting balancer forwards packets before its imports are complete.

After a loss of power everywhere no other balancer serves meanwhile.
"""

import socket
import sys
from contextlib import closing

import msgspec
import pytest

from chicorypost.announcements import FeedPage, ListedUpstream, Subscribe
from chicorypost.announcements._messages import DocumentReply, DocumentRequest
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import DataCentreId, Endpoint, InstanceId, Version
from chicorypost.cookies import make_cookie
from chicorypost.evacuation import Evacuations, Revision
from chicorypost.events import Emit
from chicorypost.platform import NodeSettings
from chicorypost.platform._packets import make_address
from chicorypost.platform.tests.test_readers import SYN
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import ROUTING_APPLIED
from chicorypost.roles._startup_balancer import (
    POLL_INTERVAL_SECONDS,
    RECONNECT_DELAY_SECONDS,
    ImportHook,
    StartupBalancer,
)
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)
from chicorypost.transport import ConnectionHello, FrameBuffer, encode_frame

LOOPBACK = "127.0.0.1"
MAX_ROUNDS = 2000
"""Bound of the polling rounds; loopback sockets deliver without delay."""


def bind_socket(kind):
    bound = socket.socket(socket.AF_INET, kind)
    bound.bind((LOOPBACK, 0))
    bound.setblocking(False)
    return bound


class FakeControlInstance:
    """A control instance whose messages a test sends."""

    def __init__(self):
        self.listener = bind_socket(socket.SOCK_STREAM)
        self.port = self.listener.getsockname()[1]
        self.streams = []
        self.frames = FrameBuffer()
        self.received = []

    def listen(self):
        self.listener.listen()

    def step(self):
        try:
            stream = self.listener.accept()[0]
            stream.setblocking(False)
            self.streams.append(stream)
            self.frames = FrameBuffer()
        except (BlockingIOError, OSError):
            pass
        for stream in self.streams:
            try:
                self.frames.append_bytes(stream.recv(4096))
            except OSError:
                continue
            while (message := self.frames.pop_message()) is not None:
                self.received.append(message)

    def send(self, message):
        self.streams[-1].send(encode_frame(message))

    def close(self):
        for stream in [*self.streams, self.listener]:
            stream.close()


class StartupScenario:
    """A starting balancer with one control instance, one upstream and one client."""

    def __init__(self):
        self.now = 100.0
        self.datagrams: list[bytes] = []
        self.control = FakeControlInstance()
        self.upstream = bind_socket(socket.SOCK_DGRAM)
        self.client = bind_socket(socket.SOCK_DGRAM)
        unused = bind_socket(socket.SOCK_DGRAM)
        self.packets = Endpoint(*unused.getsockname())
        unused.close()
        settings = NodeSettings(
            name="edge-1",
            host=LOOPBACK,
            data_centre=DataCentreId("a"),
            packets=self.packets,
            readiness=self.packets,
            control=None,
            peer_port=self.control.port,
            seeds=(InstanceId(f"{LOOPBACK}:1"),),
            founds=False,
            data_folder=None,
            announcement_seconds=1.0,
            lost_disks=1,
            stop_seconds=1.0,
        )
        self.balancer = StartupBalancer(settings, EventLog(), lambda: self.now)

    def run_until(self, condition):
        for _ in range(MAX_ROUNDS):
            self.now += POLL_INTERVAL_SECONDS
            self.balancer.run_once()
            self.control.step()
            if condition():
                return True
        return False

    def received_messages(self, kind):
        return [item for item in self.control.received if isinstance(item, kind)]

    def send_packet(self, data=SYN):
        self.client.sendto(data, (self.packets.host, self.packets.port))

    def has_received(self):
        try:
            self.datagrams.append(self.upstream.recv(2048))
        except BlockingIOError:
            return False
        return True

    def send_state(self, controls=1, evacuations=None):
        """Send the announcement table and the configuration as one of `controls` instances."""
        host, port = self.upstream.getsockname()
        call = msgspec.structs.replace(announce("i-1"), endpoint=Endpoint(host, port))
        listed = (ListedUpstream(call, False, 0),)
        names = tuple(InstanceId(f"{LOOPBACK}:{number + 1}") for number in range(controls))
        version = Version(4)
        self.control.send(FeedPage(1, 1, True, False, listed, names, version, None, evacuations))
        assert self.run_until(lambda: self.received_messages(DocumentRequest))
        address = make_address("198.18.0.1", 443)
        shares = (WeightedService(call.service, 1),)
        route = Route("r", address, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
        spec = ServiceSpec(call.service, "/", 10)
        self.control.send(DocumentReply(RoutingDocument(Version(4), (route,), (spec,), 15.0)))
        return call

    def close(self):
        self.balancer.hand_over_core().packet_socket.close()
        for opened in (self.upstream, self.client):
            opened.close()
        self.control.close()


@pytest.fixture
def startup():
    with closing(StartupScenario()) as scenario:
        yield scenario


def test_balancer_forwards_as_soon_as_it_has_upstreams_and_configuration(startup):
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    assert isinstance(startup.control.received[0], ConnectionHello)
    call = startup.send_state()
    assert startup.run_until(lambda: startup.balancer.core.missing_prerequisite() == "")
    startup.send_packet()
    assert startup.run_until(startup.has_received)
    assert startup.datagrams[-1][8:][28:32] == make_cookie(call.endpoint).to_bytes(4, "big")


def test_evacuated_upstreams_get_no_flow_before_the_event_loop_runs(startup):
    """The start-up balancer has its own dispatcher, which must pass on the event."""
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    call = startup.send_state(evacuations=Evacuations(Revision(1), (DataCentreId("a"),)))
    assert call.data_centre == "a"
    core = startup.balancer.core
    assert startup.run_until(lambda: core.missing_prerequisite() == "")
    startup.send_packet()
    assert startup.run_until(lambda: core.router.counters["reset-evacuated"] > 0)
    assert startup.balancer.event_log.counts_by_name()["evacuations-applied"] == 1


def test_packets_before_the_configuration_wait_in_the_socket(startup):
    startup.control.listen()
    startup.send_packet()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    assert startup.balancer.core.router.counters["dropped-not-configured"] == 0
    startup.send_state()
    assert startup.run_until(startup.has_received)


def test_balancer_reconnects_to_a_seed_that_does_not_listen_yet(startup):
    startup.balancer.run_once()
    startup.now += RECONNECT_DELAY_SECONDS / 2
    startup.balancer.run_once()
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))


def test_a_seed_whose_power_returns_later_is_reached_soon(startup):
    """Pattern: power lost everywhere; control instances have power again after the balancers.

    A connection attempt that begins before that gets no answer and delayed the first flow by the
    whole timeout of the attempt.
    """
    startup.control.listener.listen(0)
    blockers = [socket.socket() for _ in range(3)]
    for blocker in blockers:
        blocker.setblocking(False)
        blocker.connect_ex((LOOPBACK, startup.control.port))
    started_at = startup.now
    while startup.now < started_at + 0.22:
        startup.now += POLL_INTERVAL_SECONDS
        startup.balancer.run_once()
    power_returned_at = startup.now
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    assert startup.now - power_returned_at < 0.35
    for blocker in blockers:
        blocker.close()


def test_balancer_reconnects_to_a_seed_that_closes(startup):
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    startup.control.streams.pop().close()
    startup.control.received.clear()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))


def test_balancer_disconnects_from_a_seed_that_sends_invalid_frames(startup):
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    startup.control.streams[-1].send(b"\xff" * 64)
    startup.control.received.clear()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    assert startup.balancer.core.view.document is None


def test_core_keeps_its_state_after_the_hand_over(startup):
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    startup.send_state()
    assert startup.run_until(lambda: startup.balancer.core.missing_prerequisite() == "")
    core = startup.balancer.hand_over_core()
    assert core.view.version == 4
    assert [feed.is_connected for feed in core.view.feeds.values()] == [False]
    assert not next(iter(core.view.upstreams.values())).is_silent
    assert core.router.index.candidates


@pytest.mark.parametrize(
    ("controls", "is_unresponsive", "reason"),
    [
        (1, True, ""),
        (2, True, ""),
        (4, False, ""),
        (4, True, "cut off from all upstreams of orders"),
    ],
)
def test_only_isolation_without_a_reachable_upstream_redirects_clients(
    startup, controls, is_unresponsive, reason
):
    startup.control.listen()
    assert startup.run_until(lambda: startup.received_messages(Subscribe))
    call = startup.send_state(controls)
    core = startup.balancer.core
    assert startup.run_until(lambda: core.missing_prerequisite() == "")
    if is_unresponsive:
        core.router.suspected_upstreams.record_unanswered_opening(
            call.upstream, startup.now, startup.now
        )
    assert core.isolation_reason() == reason


def test_callback_runs_before_each_import(tmp_path, monkeypatch):
    (tmp_path / "first_of_two.py").write_text("import second_of_two\n")
    (tmp_path / "second_of_two.py").write_text("")
    monkeypatch.syspath_prepend(tmp_path)
    calls = []
    with ImportHook(lambda: calls.append(len(calls))):
        __import__("first_of_two")
    assert len(calls) == 2
    __import__("second_of_two")
    assert len(calls) == 2
    for name in ("first_of_two", "second_of_two"):
        sys.modules.pop(name)


def test_imports_by_the_callback_do_not_call_it_again(tmp_path, monkeypatch):
    (tmp_path / "imported_by_callback.py").write_text("")
    monkeypatch.syspath_prepend(tmp_path)
    calls = []

    def callback():
        calls.append(1)
        __import__("imported_by_callback")

    with ImportHook(callback), pytest.raises(ModuleNotFoundError):
        __import__("no_such_module_here")
    assert calls == [1]
    sys.modules.pop("imported_by_callback")


def test_events_before_writing_starts_are_written_with_their_time():
    written: list[tuple[Emit, float | None]] = []
    event_log, event = EventLog(), ROUTING_APPLIED.emit(version=4)
    event_log.emit(event)
    event_log.start_writing(lambda event, occurred_at: written.append((event, occurred_at)))
    event_log.emit(event)
    assert [event for event, _ in written] == [event, event]
    assert isinstance(written[0][1], float) and written[1][1] is None
    assert event_log.counts_by_name() == {"routing-applied": 2}
