"""A stand-in upstream on the platform: announces itself, takes flows, answers requests."""

import json
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from benchmarks.standins.platform_packets import (
    ABORTS,
    ACKNOWLEDGES,
    CLOSES,
    OPENS,
    Packet,
    read,
    write,
)
from chicorypost.base import Endpoint
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

TOKEN_BYTES = 8
CALL_SECONDS = 1.0
WORK_SECONDS = 0.02


@dataclass(slots=True)
class HeldFlow:
    """One flow at the upstream.

    `own` is its first sequence number, `next` that of the next byte it sends; `answered` holds for
    each request where its answer begins, and the answer once there is one.
    """

    own: int
    next: int = 0
    answered: dict[str, tuple[int, bytes]] = field(default_factory=dict)


@dataclass(slots=True)
class StandInUpstream:
    """One run of an upstream.

    Parameters
    ----------
    name : str
        Its name, which holds the number that packets for it carry.
    service : str
        What it serves.
    data_centre : str
        Where it stands.
    address : Endpoint
        Where it takes packets.
    controls : callable
        Returns the control endpoints to call, in the order to try.
    note : callable
        Told of everything that the checks need: kind and values.
    """

    name: str
    service: str
    data_centre: str
    address: Endpoint
    client_port: int
    controls: Callable[[], list[Endpoint]]
    note: Callable[..., None]
    beat_seconds: float = 0.5
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    state: str = "ready"
    flows: dict[tuple[str, int], HeldFlow] = field(default_factory=dict)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def token(self) -> int:
        """Number that packets meant for it carry."""
        return int(self.name.rpartition("-")[2], 16)

    async def run(self) -> None:
        """Serve until the scope is cancelled: a crash, from the outside."""
        with self.scope, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as packets:
            packets.setblocking(False)
            packets.bind((self.address.host, self.address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._announce_often)
                while True:
                    await trio.lowlevel.wait_readable(packets)
                    try:
                        data, _ = packets.recvfrom(4096)
                    except BlockingIOError:
                        continue
                    nursery.start_soon(self._take, packets, data)

    async def _announce_often(self) -> None:
        while self.state == "ready":
            await self.announce()
            await trio.sleep(self.beat_seconds)

    async def announce(self) -> bool:
        """Call one control instance after another until one acknowledges."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address.host}:{self.address.port}",
            "zone": self.data_centre,
            "version": "v1",
            "max_concurrency": 4,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        path = f"/-/Backends.Heartbeat/{self.name}"
        return await self._call(path, json.dumps(body).encode())

    async def drain(self, seconds: float) -> None:
        """Leave: say so, go on serving for a while, say good-bye and end."""
        self.state = "draining"
        if await self.announce():
            self.note("drain-acknowledged", upstream=self.name)
        await trio.sleep(seconds)
        await self._call(f"/-/Backends.Leave/{self.name}", b"")
        self.note("left", upstream=self.name)
        self.scope.cancel()

    async def _call(self, path: str, body: bytes) -> bool:
        for endpoint in self.controls():
            request = ExchangeRequest("POST", path, (("host", "x"),), body)
            with trio.move_on_after(CALL_SECONDS):
                answer = await exchange_once(endpoint, request, 64 * 1024)
                if isinstance(answer, ExchangeResponse) and answer.status // 100 == 2:
                    return True
        return False

    async def _take(self, packets: socket.socket, data: bytes) -> None:
        token = int.from_bytes(data[:TOKEN_BYTES], "big")
        if token not in (0, self.token):
            return
        packet = read(data[TOKEN_BYTES:])
        flow = self.flows.get(packet.source)
        if packet.flags & OPENS:
            self._take_opening(packets, packet, flow)
        elif flow is None:
            if not packet.flags & ABORTS:
                self._send(packets, packet, ABORTS, packet.acknowledged, 0)
        elif packet.flags & (CLOSES | ABORTS):
            del self.flows[packet.source]
        elif packet.acknowledged >= flow.own + 1 and packet.data:
            await self._answer(packets, packet, flow)

    def _take_opening(self, packets: socket.socket, packet: Packet, flow: HeldFlow | None) -> None:
        if flow is None:
            self.note("opened", upstream=self.name, service=self.service, target=packet.target)
            own = random.randrange(1, 2**30)
            flow = self.flows[packet.source] = HeldFlow(own, own + 1)
        self._send(packets, packet, OPENS | ACKNOWLEDGES, flow.own, packet.sequence + 1)

    async def _answer(self, packets: socket.socket, packet: Packet, flow: HeldFlow) -> None:
        request = packet.data.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        begin, answer = flow.answered.get(request, (0, b""))
        if not begin:
            flow.answered[request] = (flow.next, b"")
            self.note("run", upstream=self.name, request=request, service=self.service)
            await trio.sleep(WORK_SECONDS)
            body = f"{request} {self.service}".encode()
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
            begin = flow.next
            flow.next += len(answer)
            flow.answered[request] = (begin, answer)
        if answer:
            end = packet.sequence + len(packet.data)
            self._send(packets, packet, ACKNOWLEDGES, begin, end, answer)

    def _send(
        self,
        packets: socket.socket,
        to: Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        answer = Packet(to.target, to.source, flags, sequence, acknowledged, to.cookie, data)
        try:
            packets.sendto(write(answer), (to.source[0], self.client_port))
        except OSError:
            # The client is gone; it would have sent the packet again.
            return
