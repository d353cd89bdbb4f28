"""Tests of the HTTP client and server over loopback sockets, in real time."""

import functools

import pytest
import trio
import trio.testing

from chicorypost.transport import (
    ExchangeRequest,
    ExchangeResponse,
    HttpConnection,
    HttpServer,
    HttpServerResponse,
    HttpSettings,
    open_http,
)
from chicorypost.transport.tests.loopback import endpoint_of, run


def run_http_scenario(handler, run_client, connections=100):
    async def scenario(nursery):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        settings = HttpSettings(body_bytes=1000, header_bytes=512, connections=connections)
        server = HttpServer("test", settings, handler, lambda emit: None)
        serve = functools.partial(trio.serve_listeners, server.serve_connection, [listener])
        nursery.start_soon(serve)
        await run_client(endpoint_of(listener), server)

    run(scenario)


def echo_at_once(request):
    return HttpServerResponse(200, request.path.encode() + request.body)


async def echo(request):
    return echo_at_once(request)


@pytest.mark.parametrize("handler", [echo, echo_at_once])
def test_two_exchanges_use_one_connection(handler):
    async def run_client(endpoint, server):
        connection = await open_http(endpoint, 1000)
        assert isinstance(connection, HttpConnection)
        for body in (b"a", b"b"):
            response = await connection.exchange(ExchangeRequest("POST", "/p?q=1", (), body))
            assert isinstance(response, ExchangeResponse)
            assert response.body == b"/p" + body
        assert connection.is_reusable

    run_http_scenario(handler, run_client)


def test_requests_of_one_connection_share_a_state_that_no_other_connection_sees():
    def count(request):
        request.connection_state["requests"] = request.connection_state.get("requests", 0) + 1
        return HttpServerResponse(200, b"%d" % request.connection_state["requests"])

    async def run_client(endpoint, server):
        for _ in range(2):
            connection = await open_http(endpoint, 1000)
            assert isinstance(connection, HttpConnection)
            for expected in (b"1", b"2"):
                response = await connection.exchange(ExchangeRequest("GET", "/", ()))
                assert isinstance(response, ExchangeResponse)
                assert response.body == expected

    run_http_scenario(count, run_client)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nfill: " + b"y" * 2000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n" + b"z" * 2000, b"413"),
    ],
    ids=["malformed", "large-header", "large-body"],
)
def test_invalid_http_is_rejected_with_its_status(data, status):
    async def run_client(endpoint, server):
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await stream.send_all(data)
        response = await stream.receive_some()
        assert response.split()[1] == status
        assert server.refused_requests == 1

    run_http_scenario(echo, run_client)


def test_the_handler_is_cancelled_when_the_client_disconnects():
    cancelled = trio.Event()

    async def handler(request):
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async def run_client(endpoint, server):
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await stream.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await trio.testing.wait_all_tasks_blocked(0.01)
        await stream.aclose()
        await cancelled.wait()

    run_http_scenario(handler, run_client)


def test_request_target_that_is_no_url_costs_one_request():
    """A request for `http://[` ended the process that served it."""

    async def run_client(endpoint, server):
        for target in (b"http://[", b"//[", b"/p"):
            stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
            await stream.send_all(b"GET " + target + b" HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await stream.receive_some()).split()[1] == b"200"

    run_http_scenario(echo, run_client)


@pytest.mark.parametrize("handler", [echo, echo_at_once])
def test_unexpected_error_of_a_handler_gives_500_and_the_listener_goes_on(handler):
    def respond(request):
        return handler(request) if request.path != "/defect" else fail(handler is echo)

    def fail(is_async):
        async def fail_later():
            fail(False)

        if is_async:
            return fail_later()
        raise OverflowError("int too large")

    async def run_client(endpoint, server):
        for path, status in ((b"/defect", b"500"), (b"/p", b"200")):
            stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
            await stream.send_all(b"GET " + path + b" HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await stream.receive_some()).split()[1] == status
        assert server.failed_requests == 1

    run_http_scenario(respond, run_client)


@pytest.mark.parametrize("moment", ["sent", "accepted", "connected"])
def test_request_that_was_just_accepted_is_answered_during_a_stop(moment):
    """Report: a planned stop cut requests off that had just been accepted.

    The bytes of the request arrive before the stop, on a connection that was idle until then, or
    the connection is opened before the stop and the request sent right after it.
    """

    async def run_client(endpoint, server):
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        if moment != "connected":
            await trio.testing.wait_all_tasks_blocked(0.02)
        request = b"GET /p HTTP/1.1\r\nhost: x\r\n\r\n"
        if moment == "sent":
            await stream.send_all(request)
            server.stop()
        else:
            server.stop()
            await stream.send_all(request)
        response = await stream.receive_some()
        assert response.split()[1] == b"200" and b"connection: close" in response.lower()

    run_http_scenario(echo, run_client)


def test_idle_connections_are_closed_soon_after_a_stop():
    async def run_client(endpoint, server):
        stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await trio.testing.wait_all_tasks_blocked(0.02)
        server.stop()
        with trio.fail_after(1.0):
            assert await stream.receive_some() == b""

    run_http_scenario(echo, run_client)


def test_a_new_connection_replaces_the_one_that_is_idle_for_longest():
    """Idle connections up to the limit would keep every operator out."""

    async def run_client(endpoint, server):
        streams = []
        for number in range(5):
            stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
            await stream.send_all(b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number)
            assert (await stream.receive_some()).endswith(b"/%d" % number)
            streams.append(stream)
        with trio.fail_after(1.0):
            assert [await stream.receive_some() for stream in streams[:2]] == [b"", b""]
        await streams[2].send_all(b"GET /again HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await streams[2].receive_some()).endswith(b"/again")
        assert (server.open_connections, server.evicted_connections) == (3, 2)

    run_http_scenario(echo, run_client, connections=3)


def test_a_new_connection_is_refused_if_all_others_have_requests_in_progress():
    release = trio.Event()

    async def wait_then_echo(request):
        await release.wait()
        return await echo(request)

    async def run_client(endpoint, server):
        busy = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        await busy.send_all(b"GET /busy HTTP/1.1\r\nhost: a\r\n\r\n")
        while not server.requests_in_progress:
            await trio.sleep(0.01)
        late = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        with trio.fail_after(1.0):
            assert await late.receive_some() == b""
        release.set()
        assert (await busy.receive_some()).endswith(b"/busy")

    run_http_scenario(wait_then_echo, run_client, connections=1)
