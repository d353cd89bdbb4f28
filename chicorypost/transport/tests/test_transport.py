"""Tests of peer connections over loopback sockets, in real time."""

import contextlib
import socket

import pytest
import trio
import trio.testing

from chicorypost.base import DataCentreId, Endpoint, Incarnation, InstanceId, Message
from chicorypost.events import Emit
from chicorypost.transport import (
    ConnectionHello,
    Heartbeat,
    PeerNetwork,
    TlsContexts,
    TlsSettings,
    TransportSettings,
    encode_frame,
)
from chicorypost.transport.tests.loopback import endpoint_of, run


class TextMessage(Message, frozen=True, array_like=True, tag=9_700):
    """Message that these tests send."""

    text: str


async def start_network(nursery, name, receive, log):
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    hello = ConnectionHello(
        InstanceId(name), Incarnation(1), DataCentreId("gent"), endpoint_of(listener)
    )
    tls = TlsContexts(TlsSettings(off=True), log.append)
    network = PeerNetwork(TransportSettings(), hello, tls, receive, log.append)
    nursery.start_soon(network.run, listener)
    await trio.testing.wait_all_tasks_blocked()
    return network


def test_messages_reach_the_peer_in_order():
    received: list[object] = []
    done: list[object] = []

    async def scenario(nursery):
        finished = trio.Event()

        def receive(sender, message):
            received.append((sender, message))
            if len(received) == 3:
                finished.set()

        left = await start_network(nursery, "left", receive, done)
        right = await start_network(nursery, "right", receive, done)
        left.learn_address(InstanceId("right"), right.hello.control)
        for text in ("one", "two", "three"):
            left.send(InstanceId("right"), TextMessage(text))
        await finished.wait()

    run(scenario)
    assert received == [
        ("left", TextMessage("one")),
        ("left", TextMessage("two")),
        ("left", TextMessage("three")),
    ]


VALID_HELLO = encode_frame(
    ConnectionHello(InstanceId("x"), Incarnation(1), DataCentreId("gent"), Endpoint("127.0.0.1", 1))
)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\xc1",
        encode_frame(Heartbeat(1)),
        VALID_HELLO + b"\x00\x00\x00\x02\x92\x01",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=["oversized", "malformed", "no-hello", "truncated-body", "http"],
)
def test_invalid_input_closes_only_its_own_connection(data):
    log: list[object] = []
    received: list[object] = []

    async def scenario(nursery):
        finished = trio.Event()

        def receive(sender, message):
            received.append(message)
            finished.set()

        network = await start_network(nursery, "left", receive, log)
        endpoint = network.hello.control
        bad_stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await bad_stream.send_all(data)
        await bad_stream.send_eof()
        while await bad_stream.receive_some():
            pass
        good_stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await good_stream.send_all(VALID_HELLO + encode_frame(TextMessage("still served")))
        await finished.wait()
        assert network.refused_connections == 1

    run(scenario)
    assert received == [TextMessage("still served")]


def make_hello(instance="x", host="127.0.0.1", port=1):
    return encode_frame(
        ConnectionHello(
            InstanceId(instance), Incarnation(1), DataCentreId("gent"), Endpoint(host, port)
        )
    )


@pytest.mark.parametrize(
    "hello",
    [
        make_hello(port=99_999),
        make_hello(port=-1),
        make_hello(host="x" * 300),
        make_hello(""),
        make_hello("x" * 256),
    ],
    ids=["port out of range", "negative port", "long host", "no id", "long id"],
)
def test_hello_with_an_odd_field_is_refused_and_teaches_no_address(hello):
    log: list[Emit] = []

    async def scenario(nursery):
        network = await start_network(nursery, "left", lambda *_: None, log)
        endpoint = network.hello.control
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await stream.send_all(hello)
        await stream.send_eof()
        while await stream.receive_some():
            pass
        assert (network.refused_connections, network.addresses) == (1, {})

    run(scenario)
    assert [event.spec.name for event in log] == ["frame-refused"]


@pytest.mark.parametrize(
    "endpoint",
    [Endpoint("127.0.0.1", 99_999), Endpoint("x" * 300, 80), Endpoint("127.0.0.1\0", 80)],
    ids=["port out of range", "long host", "host with a zero byte"],
)
def test_address_that_no_socket_takes_does_not_end_the_process(endpoint):
    """The task that connects failed with UnicodeError at a long host, and the process ended."""
    received: list[object] = []

    async def scenario(nursery):
        finished = trio.Event()

        def receive(sender, message):
            received.append(message)
            finished.set()

        left = await start_network(nursery, "left", receive, [])
        right = await start_network(nursery, "right", receive, [])
        left.learn_address(InstanceId("odd"), endpoint)
        left.learn_address(InstanceId("right"), right.hello.control)
        left.send(InstanceId("odd"), TextMessage("lost"))
        await trio.sleep(0.3)
        left.send(InstanceId("right"), TextMessage("still sent"))
        await finished.wait()

    run(scenario)
    assert received == [TextMessage("still sent")]


def test_a_silent_connection_is_closed_and_reopened():
    log: list[Emit] = []

    async def scenario(nursery):
        dialled = trio.Event()
        connections: list[object] = []

        async def accept_without_replying(stream):
            connections.append(stream)
            if len(connections) == 2:
                dialled.set()
            await trio.sleep_forever()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, accept_without_replying, [listener])
        network = await start_network(nursery, "left", lambda *_: None, log)
        network.settings = TransportSettings(heartbeat_seconds=0.02, silence_seconds=0.1)
        network.learn_address(InstanceId("mute"), endpoint_of(listener))
        network.send(InstanceId("mute"), TextMessage("anyone there?"))
        await dialled.wait()

    run(scenario)
    assert ("peer-lost", "silent") in [(e.spec.name, e.fields.get("reason")) for e in log]


async def start_dialler(
    nursery,
    name,
    receive,
    log,
    resolve,
    on_connected,
    settings=TransportSettings(redial_seconds=0.02),  # noqa: B008
):
    hello = ConnectionHello(
        InstanceId(name), Incarnation(1), DataCentreId("gent"), Endpoint("127.0.0.1", 0)
    )
    tls = TlsContexts(TlsSettings(off=True), log.append)
    network = PeerNetwork(
        settings, hello, tls, receive, log.append, resolve=resolve, on_connected=on_connected
    )
    await nursery.start(network.run, None)
    return network


def test_a_non_listening_peer_receives_messages_on_its_own_connection():
    log: list[object] = []
    received: list[object] = []

    async def scenario(nursery):
        reply_received = trio.Event()

        def serve(sender, message):
            server.send(sender, TextMessage(f"re: {message.text}"))

        def receive(sender, message):
            received.append((sender, message))
            reply_received.set()

        server = await start_network(nursery, "server", serve, log)
        dialler = await start_dialler(
            nursery, "dialler", receive, log, lambda _: server.hello.control, lambda _: None
        )
        dialler.send(InstanceId("server"), TextMessage("question"))
        await reply_received.wait()
        assert server.is_connected(InstanceId("dialler"))

    run(scenario)
    assert received == [("server", TextMessage("re: question"))]


def test_a_lost_connection_is_reported_and_reopened():
    log: list[object] = []
    events: list[str] = []

    async def scenario(nursery):
        listener_scope = trio.CancelScope()

        async def serve_once():
            with listener_scope:
                await trio.serve_listeners(hang_up, listeners)

        async def hang_up(stream):
            await stream.receive_some()
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(serve_once)
        connected_twice = trio.Event()

        def record_connected(peer):
            events.append("connected")
            if len(events) >= 2:
                connected_twice.set()

        endpoint = endpoint_of(listeners[0])
        dialler = await start_dialler(
            nursery, "dialler", lambda *_: None, log, lambda _: endpoint, record_connected
        )
        dialler.maintain_connection(InstanceId("server"))
        await connected_twice.wait()
        dialler.close_connection(InstanceId("server"))
        await trio.testing.wait_all_tasks_blocked()
        assert not dialler.is_connected(InstanceId("server"))

    run(scenario)


def test_a_peer_that_gets_power_during_an_attempt_to_connect_is_reached_by_a_later_one():
    """Pattern: power lost everywhere; a peer has power again a little later than this process.

    It never answers the attempt that began before, whose timeout delayed the connection.
    """
    log: list[object] = []

    async def scenario(nursery):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            endpoint = Endpoint(*listener.getsockname())
            blockers = [socket.socket() for _ in range(3)]
            for blocker in blockers:
                blocker.setblocking(False)
                blocker.connect_ex((endpoint.host, endpoint.port))
            settings = TransportSettings(
                dial_seconds=10.0, first_dial_seconds=0.05, redial_seconds=0.02
            )
            dialler = await start_dialler(
                nursery, "b", lambda *_: None, log, lambda _: endpoint, lambda _: None, settings
            )
            dialler.maintain_connection(InstanceId("server"))
            await trio.sleep(0.2)
            listener.setblocking(False)
            with trio.fail_after(3.0):
                while not dialler.is_connected(InstanceId("server")):
                    with contextlib.suppress(BlockingIOError):
                        blockers.append(listener.accept()[0])
                    await trio.sleep(0.01)
            assert dialler.links[InstanceId("server")].dial_attempts == 0
            for blocker in blockers:
                blocker.close()

    run(scenario)


def test_a_reconnecting_dialler_replaces_its_previous_connection():
    log: list[object] = []
    received: list[object] = []

    async def scenario(nursery):
        reply_received = trio.Event()

        def receive(sender, message):
            received.append(message)
            reply_received.set()

        server = await start_network(nursery, "server", lambda *_: None, log)
        name, endpoint = InstanceId("dialler"), server.hello.control
        previous_stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        hello = ConnectionHello(
            name, Incarnation(1), DataCentreId("gent"), Endpoint("127.0.0.1", 0)
        )
        await previous_stream.send_all(encode_frame(hello))
        await trio.testing.wait_all_tasks_blocked()
        dialler = await start_dialler(
            nursery, "dialler", receive, log, lambda _: endpoint, lambda _: None
        )
        dialler.maintain_connection(InstanceId("server"))
        while not dialler.is_connected(InstanceId("server")):
            await trio.sleep(0.01)
        await trio.sleep(0.05)
        await previous_stream.aclose()
        await trio.sleep(0.05)
        assert server.is_connected(name)
        server.send(name, TextMessage("to the newer one"))
        await reply_received.wait()

    run(scenario)
    assert received == [TextMessage("to the newer one")]


@pytest.mark.parametrize("port", [0, 1], ids=["non-listening", "listening"])
def test_connections_that_were_given_up_before_they_were_accepted_are_not_served(port):
    """Pattern: hundreds of dialling peers give up on a frozen process and dial again.

    At its return the process served each of these connections, with a table for every one.
    """
    received: list[tuple[str, str]] = []
    connected: list[str] = []
    names = [InstanceId(f"b{number}") for number in range(40)]

    def receive(sender, message):
        received.append((sender, message.text))

    async def open_connection(endpoint, name, text):
        hello = ConnectionHello(
            name, Incarnation(1), DataCentreId("gent"), Endpoint("127.0.0.1", port)
        )
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await stream.send_all(encode_frame(hello) + encode_frame(TextMessage(text)))
        return stream

    async def scenario(nursery):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        endpoint = endpoint_of(listener)
        for name in names:
            await (await open_connection(endpoint, name, "given up")).aclose()
        streams = [await open_connection(endpoint, name, "live") for name in names]
        tls = TlsContexts(TlsSettings(off=True), lambda _: None)
        hello = ConnectionHello(InstanceId("s"), Incarnation(1), DataCentreId("gent"), endpoint)
        server = PeerNetwork(
            TransportSettings(),
            hello,
            tls,
            receive,
            lambda _: None,
            on_connected=connected.append,
        )
        nursery.start_soon(server.run, listener)
        while len(received) < len(names):
            await trio.sleep(0.01)
        await trio.testing.wait_all_tasks_blocked()
        for stream in streams:
            await stream.aclose()

    run(scenario)
    assert sorted(received) == sorted((name, "live") for name in names)
    assert sorted(connected) == (sorted(names) if port == 0 else [])


def test_a_message_to_many_peers_is_encoded_once(monkeypatch):
    """Pattern: a page of changes for hundreds of peers; encoding it for each grows with both."""
    encoded: list[Message] = []
    received: list[object] = []
    names = [InstanceId(f"b{number}") for number in range(20)]

    def count_encoding(message):
        encoded.append(message)
        return encode_frame(message)

    monkeypatch.setattr("chicorypost.transport._peers.encode_frame", count_encoding)

    async def scenario(nursery):
        server = await start_network(nursery, "server", lambda *_: None, [])
        for name in names:
            dialler = await start_dialler(
                nursery,
                name,
                lambda _, message: received.append(message),
                [],
                lambda _: server.hello.control,
                lambda _: None,
            )
            dialler.maintain_connection(InstanceId("server"))
        while not all(server.is_connected(name) for name in names):
            await trio.sleep(0.01)
        page = TextMessage("page")
        for name in names:
            server.send(name, page)
        while received.count(page) < len(names):
            await trio.sleep(0.01)

    run(scenario)
    assert encoded.count(TextMessage("page")) < len(names) / 2


class NumberMessage(Message, frozen=True, array_like=True, tag=9_701):
    """Message whose number may be too large for the codec."""

    number: int


def test_message_that_cannot_be_encoded_costs_the_connection_and_not_the_process():
    log: list[Emit] = []
    received: list[object] = []

    async def scenario(nursery):
        finished = trio.Event()

        def receive(sender, message):
            received.append(message)
            finished.set()

        left = await start_network(nursery, "left", receive, log)
        right = await start_network(nursery, "right", receive, log)
        left.learn_address(InstanceId("right"), right.hello.control)
        left.send(InstanceId("right"), NumberMessage(2**70))
        while not any(event.spec.name == "unexpected-error" for event in log):
            await trio.sleep(0.01)
        left.send(InstanceId("right"), TextMessage("after"))
        await finished.wait()

    run(scenario)
    assert received == [TextMessage("after")]
