"""A second copy of a response never becomes the response to the next request."""

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


async def exchange_twice(server):
    """Make two exchanges one after the other; return their results."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        upstream = make_upstream(listener.socket.getsockname()[1])
        engine = RecordingEngine()
        runner = UpstreamExchangeRunner(engine, lambda now: True, 1000, nursery)
        for number in (1, 2):
            request = HttpRequest("GET", f"/{number}", (), b"")
            deadline = Instant(trio.current_time() + DEADLINE_SECONDS)
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
    first, second = trio.run(exchange_twice, CopyingServer(copy_at, names_attempts))
    assert first.outcome is DispatchOutcome.RESPONDED
    assert first.response.body == b"/1"
    assert second.response is None or second.response.body == b"/2"


def test_a_copy_that_names_another_attempt_leaves_the_outcome_unknown():
    _, second = trio.run(exchange_twice, CopyingServer("next", True))
    assert second.outcome is DispatchOutcome.UNKNOWN
    assert second.response is None


def test_an_upstream_that_names_no_attempt_is_still_answered():
    first, second = trio.run(exchange_twice, CopyingServer("idle", False))
    assert (first.response.body, second.response.body) == (b"/1", b"/2")
