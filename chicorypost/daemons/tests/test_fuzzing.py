"""Fuzz tests of the listeners: invalid input gives an error response and no exception."""

import json

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import DataCentreId, InstanceId, Instant
from chicorypost.daemons import Engine
from chicorypost.daemons._announcements import ANNOUNCEMENTS_PATH, AnnouncementEndpoint
from chicorypost.transport import HttpServer, HttpServerRequest, HttpServerResponse, HttpSettings
from chicorypost.upstreams import DirectorySettings, UpstreamDirectory

VALID_ANNOUNCEMENT = {
    "upstream": "u1",
    "incarnation": 1,
    "service": "ordering",
    "data_centre": "gent-1",
    "packets": ["127.0.0.1", 1],
    "requests": ["127.0.0.1", 2],
    "slots": 3,
    "connections": 10,
    "state": "ready",
    "valid_for_seconds": 3.0,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=True) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def send_announcement(body: bytes) -> int:
    """Return the HTTP status of the response to an announcement."""
    engine = Engine(lambda *_: None, lambda _: None, lambda _: None, lambda: 0.0)
    data_centre = DataCentreId("gent-1")
    directory = UpstreamDirectory(
        DirectorySettings(), InstanceId("balancer-1"), data_centre, Instant(0.0)
    )
    endpoint = AnnouncementEndpoint(engine, directory)
    request = HttpServerRequest("POST", ANNOUNCEMENTS_PATH, (), body)
    return trio.run(endpoint.handle, request).status


def test_a_valid_announcement_is_accepted():
    assert send_announcement(json.dumps(VALID_ANNOUNCEMENT).encode()) == 200


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("packets", ["127.0.0.1", 99_999]),
        ("packets", ["127.0.0.1", 0]),
        ("requests", ["127.0.0.1", -1]),
        ("requests", ["", 80]),
        ("requests", ["127.0.0.1\0", 80]),
        ("incarnation", 2**70),
        ("slots", 10**30),
        ("valid_for_seconds", 1e300),
    ],
)
def test_an_announcement_with_a_value_out_of_range_is_refused(field, value):
    """Report: entries with a port out of range ended the machines that read them."""
    assert send_announcement(json.dumps(VALID_ANNOUNCEMENT | {field: value}).encode()) == 400


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"a":' * 100_000])
def test_a_deeply_nested_announcement_is_refused(body):
    assert send_announcement(body) == 400


@settings(max_examples=60)
@given(st.binary(max_size=200))
def test_an_announcement_of_arbitrary_bytes_is_refused(body):
    assert send_announcement(body) == 400


@settings(max_examples=100)
@given(st.sampled_from(sorted(VALID_ANNOUNCEMENT)), JSON)
def test_a_wrong_field_of_an_announcement_never_raises(field, value):
    assert send_announcement(json.dumps({**VALID_ANNOUNCEMENT, field: value}).encode()) in (
        200,
        400,
        409,
    )


@settings(max_examples=100)
@given(st.binary(max_size=300), st.booleans())
def test_arbitrary_bytes_never_end_an_http_listener(data, with_head):
    async def respond(request):
        return HttpServerResponse(200, b"ok")

    async def serve():
        caller, listener = trio.testing.memory_stream_pair()
        server = HttpServer("fuzzed", HttpSettings(), respond, lambda _: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve_connection, listener)
            await caller.send_all((b"POST / HTTP/1.1\r\n" if with_head else b"") + data)
            await caller.send_stream.aclose()
        assert server.open_connections == 0

    trio.run(serve)
