"""Malformed input for every port of a process, from one random generator."""

import random

import trio

from benchmarks.standins.platform_packets import OPEN_FLAG, Packet, encode_packet
from chicorypost.base import DataCentreId, Endpoint, Incarnation, InstanceId
from chicorypost.transport import NOT_LISTENING_PORT, ConnectionHello, encode_frame

CONNECT_TIMEOUT_SECONDS = 0.5
LINGER_SECONDS = 0.1
"""How long a connection stays open after its garbage."""
JSON_BODIES = (
    b"",
    b"[]",
    b'{"version":',
    b'{"version":1e400,"routes":[],"services":[]}',
    b'{"version":99999999999999999999999999,"routes":[],"services":[]}',
    b'{"service":"orders","address":"127.0.0.1:99999","seq":-1,"born":1}',
    b'{"service":"orders","address":"127.0.0.1:80","zone":"a","state":"ready","seq":1e30,"born":0}',
    b"[" * 100_000,
    "\ud800".encode("utf-8", "surrogatepass"),
)
TARGETS = (
    b"POST /-/Config.Put",
    b"GET /-/Config.Get",
    b"POST /-/Backends.Heartbeat/i-zz",
    b"POST /-/Backends.Leave/../x",
    b"GET http://[",
    b"GET /-/ready?%ff",
)


def make_call(rng: random.Random) -> bytes:
    """Return an HTTP request with a body that can't be read, or bytes that are no request."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randrange(1, 2000))
    body = rng.choice(JSON_BODIES)
    length = rng.choice((len(body), len(body) + 5, -1, 10**12))
    head = rng.choice(TARGETS) + b" HTTP/1.1\r\nhost: x\r\n"
    return head + b"content-length: %d\r\n\r\n" % length + body


def make_stream(rng: random.Random) -> bytes:
    """Return bytes for a connection between instances; some begin with a valid first message."""
    hello = ConnectionHello(
        InstanceId(f"garbage-{rng.randrange(10)}"),
        Incarnation(rng.randrange(2**40)),
        DataCentreId("a"),
        Endpoint("127.0.0.1", NOT_LISTENING_PORT),
    )
    frame = rng.randbytes(rng.randrange(1, 400))
    length = rng.choice((len(frame), len(frame) + 9, 0, 2**32 - 1))
    body = length.to_bytes(4, "big") + frame
    return (encode_frame(hello) if rng.random() < 0.7 else b"") + body


def make_datagram(rng: random.Random) -> bytes:
    """Return a packet that is cut off, has random fields, or is no packet."""
    packet = Packet(
        (f"127.{rng.randrange(256)}.0.1", rng.randrange(65536)),
        ("198.18.0.1", rng.choice((443, 444, 0, 65535))),
        rng.choice((OPEN_FLAG, 0, 255)),
        rng.randrange(2**32),
        rng.randrange(2**32),
        rng.randrange(2**32),
        rng.randbytes(rng.randrange(0, 1200)),
    )
    data = bytearray(encode_packet(packet))
    if rng.random() < 0.5:
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.choice((len(data), rng.randrange(len(data))))])


async def send_to_stream(endpoint: Endpoint, data: bytes) -> None:
    """Send bytes on a connection of their own; a refused connection is no error."""
    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        try:
            async with await trio.open_tcp_stream(endpoint.host, endpoint.port) as stream:
                await stream.send_all(data)
                await trio.sleep(LINGER_SECONDS)
        except (OSError, trio.BrokenResourceError):
            return
