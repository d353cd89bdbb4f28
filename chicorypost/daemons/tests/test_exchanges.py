"""Exchanges with upstreams that send a response twice, or that fall silent."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from chicorypost.base import (
    AttemptId,
    DataCentreId,
    Endpoint,
    Incarnation,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from chicorypost.daemons import Engine
from chicorypost.daemons._exchanges import ATTEMPT_HEADER, UpstreamExchangeRunner
from chicorypost.upstreams import DispatchOutcome, HttpRequest, StartExchange

DEADLINE_SECONDS = 5.0


class CopyingServer:
    """A server that sends a second copy of each response at a chosen moment.

    `copy_at` is "at once" (behind the response), "idle" (while the connection is idle) or "next"
    (in front of the response to the next request on the connection).
    """

    def __init__(self, copy_at, names_attempts):
        self.copy_at = copy_at
        self.names_attempts = names_attempts
        self.idle_copy_sent = trio.Event()

    async def serve(self, stream):
        # A client that closes a connection with unread bytes resets it.
        with suppress(trio.BrokenResourceError):
            await self.respond(stream)

    async def respond(self, stream):
        earlier = b""
        received = b""
        while data := await stream.receive_some():
            received += data
            if not received.endswith(b"\r\n\r\n"):
                continue
            response = self.make_response(received)
            received = b""
            parts = {"at once": response * 2, "idle": response, "next": earlier + response}
            await stream.send_all(parts[self.copy_at])
            if self.copy_at == "idle":
                await trio.sleep(0.05)
                await stream.send_all(response)
                self.idle_copy_sent.set()
            earlier = response

    def make_response(self, request):
        lines = request.decode().split("\r\n")
        target = lines[0].split(" ")[1]
        named = [line for line in lines if line.lower().startswith(ATTEMPT_HEADER)]
        headers = named if self.names_attempts else []
        head = ["HTTP/1.1 200 OK", f"content-length: {len(target)}", *headers, "", target]
        return "\r\n".join(head).encode()


def make_upstream(port):
    endpoint = Endpoint("127.0.0.1", port)
    ids = (UpstreamId("a"), Incarnation(1), ServiceId("orders"), DataCentreId("gent"))
    return Upstream(*ids, endpoint, endpoint, 2, 4_000, UpstreamState.READY)


class RecordingEngine(Engine):
    """Engine that keeps the events posted to it."""

    def __init__(self):
        super().__init__(lambda to, message: None, lambda emit: None, lambda effect: None)
        self.posted = []

    def post(self, event):
        self.posted.append(event)


class SilentServer:
    """A server that answers the first requests of each connection and then falls silent.

    The connection stays open, as when something between both ends has lost track of it.
    """

    idle_copy_sent = None
    copy_at = ""

    def __init__(self, answered):
        self.answered = answered
        self.connections = 0
        self.closed = 0

    async def serve(self, stream):
        self.connections += 1
        answered = 0
        with suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                if self.connections > 1 or answered < self.answered:
                    answered += 1
                    await stream.send_all(CopyingServer("", True).make_response(data))
        self.closed += 1


async def exchange_several(server, count, deadline_seconds=DEADLINE_SECONDS):
    """Make exchanges one after the other; return their results."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        upstream = make_upstream(listener.socket.getsockname()[1])
        engine = RecordingEngine()
        runner = UpstreamExchangeRunner(engine, lambda now: True, 1000, nursery)
        for number in range(1, count + 1):
            request = HttpRequest("GET", f"/{number}", (), b"")
            deadline = Instant(trio.current_time() + deadline_seconds)
            runner.start_exchange(
                StartExchange(AttemptId(f"attempt-{number}"), upstream, request, deadline)
            )
            with trio.fail_after(2 * DEADLINE_SECONDS):
                while len(engine.posted) < number:
                    await trio.sleep(0.001)
                if server.copy_at == "idle":
                    await server.idle_copy_sent.wait()
        nursery.cancel_scope.cancel()
    return engine.posted


@pytest.mark.parametrize("names_attempts", [True, False])
@pytest.mark.parametrize("copy_at", ["at once", "idle", "next"])
def test_second_copy_of_a_response_reaches_no_other_caller(copy_at, names_attempts):
    first, second = trio.run(exchange_several, CopyingServer(copy_at, names_attempts), 2)
    assert first.outcome is DispatchOutcome.RESPONDED
    assert first.response.body == b"/1"
    assert second.response is None or second.response.body == b"/2"


def test_a_copy_that_names_another_attempt_leaves_the_outcome_unknown():
    _, second = trio.run(exchange_several, CopyingServer("next", True), 2)
    assert second.outcome is DispatchOutcome.UNKNOWN
    assert second.response is None


def test_an_upstream_that_names_no_attempt_is_still_answered():
    first, second = trio.run(exchange_several, CopyingServer("idle", False), 2)
    assert (first.response.body, second.response.body) == (b"/1", b"/2")


@pytest.mark.parametrize("answered", [0, 1])
def test_a_silent_connection_ends_at_the_deadline_and_is_not_used_again(answered):
    server = SilentServer(answered)
    results = trio.run(exchange_several, server, answered + 2, 0.3)
    outcomes = [result.outcome for result in results]
    responded = DispatchOutcome.RESPONDED
    assert outcomes == [responded] * answered + [DispatchOutcome.UNKNOWN, responded]
    assert results[-1].response.body == f"/{answered + 2}".encode()
    assert server.connections == 2
