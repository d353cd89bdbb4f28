"""Stand-in clients, servers and routers for the scripts of the second review.

They speak what PROTOCOL.md tells: flows of packets in UDP datagrams, heartbeats over HTTP, and
readiness probes. All run on one event loop; calls over HTTP run in threads.
"""

import asyncio
import json
import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from deployment_2 import (
    HEARTBEAT_MS,
    PACKET_PORT,
    READY_PORT,
    CannotRunError,
    Deployment,
    Operator,
    Record,
    call,
    make_configuration,
)

SYN, RST, ACK, FIN = 32, 16, 8, 4
HEADER = struct.Struct(">IHIIBBHHIII")
TOKEN = struct.Struct(">Q")
CHECKSUM = 1
"""Stands for the keyed sum, which the system can't check; a reset of the system carries 0."""
SYN_TIMES = (0.0, 0.2, 0.6)
SYN_GIVE_UP_SECONDS = 1.4
REQUEST_TIMES = (0.0, 0.2, 0.6, 1.4)
REQUEST_SECONDS = 2.5
PROBE_SECONDS = 0.5
MISSED_PROBES = 2
WORK_SECONDS = 0.02
START_SECONDS = 30.0
ORDER_SECONDS = 5.0


def pack_host(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(bytes(int(part) for part in host.split(".")), "big")


def unpack_host(number: int) -> str:
    """Return the text of an IPv4 address."""
    return ".".join(str(part) for part in number.to_bytes(4, "big"))


@dataclass(frozen=True)
class Packet:
    """One packet of a flow."""

    source: str
    source_port: int
    target: str
    target_port: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = CHECKSUM

    def encode(self) -> bytes:
        """Return the bytes of the packet."""
        head = HEADER.pack(
            self.checksum,
            len(self.data),
            self.sequence,
            self.acknowledged,
            self.flags,
            0,
            self.source_port,
            self.target_port,
            pack_host(self.target),
            pack_host(self.source),
            self.echo,
        )
        return head + self.data


def decode(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    fields = HEADER.unpack_from(data)
    checksum, length, sequence, acknowledged, flags, _, source_port, target_port = fields[:8]
    return Packet(
        unpack_host(fields[9]),
        source_port,
        unpack_host(fields[8]),
        target_port,
        flags,
        sequence,
        acknowledged,
        fields[10],
        data[HEADER.size : HEADER.size + length],
        checksum,
    )


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.on_datagram(data)


async def open_socket(
    host: str, port: int, on_datagram: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Bind a UDP socket that passes datagrams to a function."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(on_datagram), local_addr=(host, port)
    )
    return transport


class Router:
    """Probes the balancers and picks one for each packet by a hash that keeps most flows.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.misses = dict.fromkeys(deployment.balancers, MISSED_PROBES)

    async def run(self) -> None:
        """Probe all balancers until cancelled."""
        await asyncio.gather(*(self._probe(host) for host in self.misses))

    async def _probe(self, host: str) -> None:
        while True:
            status, _ = await asyncio.to_thread(
                call, host, "GET", "/-/ready", b"", READY_PORT, PROBE_SECONDS
            )
            self.misses[host] = 0 if status == 200 else self.misses[host] + 1
            await asyncio.sleep(PROBE_SECONDS)

    def pick(self, zone: str, flow: tuple[Any, ...]) -> str:
        """Return the balancer of a flow from a zone."""
        zones = self.deployment.zones
        own = [host for host in self.misses if zones[host] == zone]
        nodes = [host for host in own if self.misses[host] < MISSED_PROBES]
        if not nodes:
            nodes = [host for host in self.misses if self.misses[host] < MISSED_PROBES] or own
        elif 2 * len(nodes) < len(own):
            nodes = own
        return max(nodes, key=lambda host: hash((host, flow)))


@dataclass
class Opening:
    """An opening that a server took, with the times at the client and at the server."""

    client: tuple[str, int]
    sent_at: float
    arrived_at: float


@dataclass
class Server:
    """One server: announces itself, takes flows and answers requests.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    name : str
        Its id; the hex digits are its token.
    host, zone, service : str
        Its address, zone and service.
    sent_at : dict
        When clients sent the first packet of each flow.
    """

    deployment: Deployment
    record: Record
    name: str
    host: str
    zone: str
    service: str
    sent_at: dict[tuple[str, int], float]
    warmup_seconds: float = 0.0
    port: int = 8367
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    sequence: int = 0
    cold_from: float = float("-inf")
    openings: list[Opening] = field(default_factory=list)
    flows: dict[tuple[str, int], int] = field(default_factory=dict)
    answered: dict[tuple[str, int], bytes] = field(default_factory=dict)
    transport: asyncio.DatagramTransport | None = None
    next_control: int = 0

    @property
    def token(self) -> int:
        """Number that packets to this server carry."""
        return int("".join(letter for letter in self.name if letter in "0123456789abcdef"), 16)

    def turn_cold(self) -> None:
        """Become cold now."""
        self.cold_from = self.record.now()
        self.record.write(f"server {self.name} in {self.zone} is cold from now on")

    async def run(self) -> None:
        """Serve until cancelled."""
        self.transport = await open_socket(self.host, self.port, self._receive)
        # Heartbeats of the servers are spread over the interval.
        await asyncio.sleep(random.random() * HEARTBEAT_MS / 1000)
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _announce(self) -> None:
        self.sequence += 1
        left_seconds = max(0.0, self.cold_from + self.warmup_seconds - self.record.now())
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": 3,
            "state": "ready",
            "warmup_left_ms": round(left_seconds * 1000),
            "seq": self.sequence,
            "born": self.born,
        }
        path = f"/-/Backends.Heartbeat/{self.name}"
        for _ in self.deployment.controls:
            host = self.deployment.controls[self.next_control % len(self.deployment.controls)]
            status, _ = await asyncio.to_thread(call, host, "POST", path, json.dumps(body).encode())
            if status == 200:
                if body["warmup_left_ms"]:
                    self.record.write(
                        f"server {self.name} says warmup_left_ms {body['warmup_left_ms']}: {status}"
                    )
                return
            self.next_control += 1

    def _receive(self, datagram: bytes) -> None:
        arrived_at = self.record.now()
        (token,) = TOKEN.unpack_from(datagram)
        if token not in (0, self.token):
            return
        packet = decode(datagram[TOKEN.size :])
        client = (packet.source, packet.source_port)
        if packet.flags & SYN:
            if client not in self.flows:
                self.flows[client] = random.randrange(1, 2**31)
                self.openings.append(Opening(client, self.sent_at[client], arrived_at))
            self._send(packet, SYN | ACK, self.flows[client], packet.sequence + 1)
        elif client not in self.flows:
            if not packet.flags & RST:
                self._send(packet, RST, packet.acknowledged, 0)
        elif packet.flags & (FIN | RST):
            del self.flows[client]
            self.answered.pop(client, None)
        elif packet.data and packet.acknowledged == self.flows[client] + 1:
            if client in self.answered:
                return
            self.answered[client] = b""
            asyncio.get_running_loop().call_later(WORK_SECONDS, self._answer, packet, client)

    def _answer(self, packet: Packet, client: tuple[str, int]) -> None:
        if client in self.flows:
            request = packet.data.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0]
            body = b"%s %s" % (request, self.name.encode())
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
            end = packet.sequence + len(packet.data)
            self._send(packet, ACK, packet.acknowledged, end, answer)

    def _send(
        self, received: Packet, flags: int, sequence: int, acknowledged: int, data: bytes = b""
    ) -> None:
        assert self.transport is not None
        answer = Packet(
            received.target,
            received.target_port,
            received.source,
            received.source_port,
            flags,
            sequence % 2**32,
            acknowledged % 2**32,
            received.echo,
            data,
        )
        self.transport.sendto(answer.encode(), (received.source, PACKET_PORT))


class Clients:
    """Clients of one zone, which open a flow for each request.

    Parameters
    ----------
    record : Record
        Receives what was sent and answered.
    router : Router
        Picks the balancer of each packet.
    host, zone : str
        Address and zone of the clients.
    target : tuple of str and int
        Address and port of the route.
    sent_at : dict
        Receives when the first packet of each flow was sent.
    """

    def __init__(
        self,
        record: Record,
        router: Router,
        host: str,
        zone: str,
        target: tuple[str, int],
        sent_at: dict[tuple[str, int], float],
    ) -> None:
        self.record = record
        self.router = router
        self.host = host
        self.zone = zone
        self.target = target
        self.sent_at = sent_at
        self.next_port = 20_000
        self.inboxes: dict[int, asyncio.Queue[Packet]] = {}
        self.outcomes: dict[str, int] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, flows_per_second: float) -> None:
        """Open flows at a steady rate until cancelled."""
        self.transport = await open_socket(self.host, PACKET_PORT, self._receive)
        started_at = self.record.now()
        count = 0
        while True:
            count += 1
            await asyncio.sleep(max(0.0, started_at + count / flows_per_second - self.record.now()))
            task = asyncio.create_task(self._run_flow())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _receive(self, datagram: bytes) -> None:
        packet = decode(datagram)
        inbox = self.inboxes.get(packet.target_port)
        if inbox is not None:
            inbox.put_nowait(packet)

    async def _run_flow(self) -> None:
        self.next_port = self.next_port + 1 if self.next_port < 60_000 else 20_001
        port = self.next_port
        inbox = self.inboxes[port] = asyncio.Queue()
        try:
            outcome = await self._request(port, inbox)
        finally:
            del self.inboxes[port]
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def _request(self, port: int, inbox: "asyncio.Queue[Packet]") -> str:
        sequence = random.randrange(1, 2**30)
        self.sent_at[self.host, port] = self.record.now()
        opened = await self._exchange(
            port,
            inbox,
            [(at, SYN, sequence, copies, 0, b"") for copies, at in enumerate(SYN_TIMES)],
            SYN_GIVE_UP_SECONDS,
            lambda packet: packet.flags == SYN | ACK,
        )
        if opened is None:
            return "not opened"
        if opened.flags & RST:
            return "reset at the opening"
        acknowledged = opened.sequence + 1
        self._send(port, ACK, sequence + 1, acknowledged, opened.echo)
        name = f"{random.getrandbits(64):016x}"
        data = f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n".encode()
        answer = await self._exchange(
            port,
            inbox,
            [(at, ACK, sequence + 1, acknowledged, opened.echo, data) for at in REQUEST_TIMES],
            REQUEST_SECONDS,
            lambda packet: bool(packet.data),
        )
        if answer is None:
            return "not answered"
        if answer.flags & RST:
            return "reset"
        end = acknowledged + len(answer.data)
        self._send(port, ACK | FIN, sequence + 1 + len(data), end, answer.echo)
        return "answered" if name.encode() in answer.data else "wrong answer"

    async def _exchange(
        self,
        port: int,
        inbox: "asyncio.Queue[Packet]",
        sends: list[tuple[float, int, int, int, int, bytes]],
        give_up_seconds: float,
        is_expected: Callable[[Packet], bool],
    ) -> Packet | None:
        """Send packets at their times until an expected one or a reset comes."""
        started_at = self.record.now()
        ends = [at for at, *_ in sends[1:]] + [give_up_seconds]
        for (_, flags, sequence, acknowledged, echo, data), end in zip(sends, ends, strict=True):
            self._send(port, flags, sequence, acknowledged, echo, data)
            while (left_seconds := started_at + end - self.record.now()) > 0:
                try:
                    packet = await asyncio.wait_for(inbox.get(), left_seconds)
                except TimeoutError:
                    break
                if packet.flags & RST or is_expected(packet):
                    return packet
        return None

    def _send(
        self,
        port: int,
        flags: int,
        sequence: int,
        acknowledged: int,
        echo: int = 0,
        data: bytes = b"",
    ) -> None:
        assert self.transport is not None
        packet = Packet(
            self.host, port, *self.target, flags, sequence % 2**32, acknowledged % 2**32, echo, data
        )
        balancer = self.router.pick(self.zone, (self.host, port, *self.target))
        self.transport.sendto(packet.encode(), (balancer, PACKET_PORT))


@dataclass(frozen=True)
class ColdLimits:
    """What the configuration and the settings say of cold servers."""

    warmup_seconds: float
    warmup_per_second: float
    overage: float = 1.5
    slack: float = 5.0

    @property
    def requests_per_second(self) -> float:
        """Most requests that a cold server may get in any second."""
        return self.warmup_per_second * self.overage + self.slack

    @property
    def bounds(self) -> dict[str, float]:
        """The bounds in the settings; the others are those of sfx-farm-grown."""
        return {
            "stable_window_ms": 5000,
            "ack_ms": 6000,
            "warmup_overage": self.overage,
            "warmup_slack": self.slack,
            "evacuate_ms": 5000,
        }


class ColdScene:
    """A deployment of two zones with clients in one and servers that turn cold.

    Parameters
    ----------
    record : Record
        Receives what happens.
    deployment : Deployment
        The deployment; the first half of the balancers, rounded up, is in `zone-a`.
    servers : tuple of int
        Number of servers in `zone-a` and in `zone-b`.
    limits : ColdLimits
        Limits of cold servers.
    """

    service = "dispatch"

    def __init__(
        self,
        record: Record,
        deployment: Deployment,
        servers: tuple[int, int],
        limits: ColdLimits,
    ) -> None:
        self.record = record
        self.deployment = deployment
        self.limits = limits
        self.sent_at: dict[tuple[str, int], float] = {}
        self.operator = Operator(deployment)
        half = (len(deployment.balancers) + 1) // 2
        for number, host in enumerate(deployment.balancers):
            deployment.zones[host] = "zone-a" if number < half else "zone-b"
        self.router = Router(deployment)
        zones = ["zone-a"] * servers[0] + ["zone-b"] * servers[1]
        self.servers = [
            Server(
                deployment,
                record,
                f"i-{0xA0 + number:x}",
                deployment.host(4, number),
                zone,
                self.service,
                self.sent_at,
                limits.warmup_seconds,
            )
            for number, zone in enumerate(zones)
        ]
        self.clients = {
            zone: Clients(
                record,
                self.router,
                deployment.host(5, number),
                zone,
                ("198.18.0.1", 8443),
                self.sent_at,
            )
            for number, zone in enumerate(("zone-a", "zone-b"))
        }
        self.tasks: list[asyncio.Task[None]] = []

    def list_cold_servers(self) -> list[Server]:
        """Return the servers of the zone that is evacuated and taken back."""
        return [server for server in self.servers if server.zone == "zone-b"]

    async def start(self, flows_per_second: dict[str, float], calm_seconds: float) -> None:
        """Start the processes that the platform starts first, the servers and the clients."""
        await asyncio.to_thread(self._start_processes)
        self._start_task(self.router.run())
        for server in self.servers:
            self._start_task(server.run())
        await asyncio.to_thread(self._wait_ready)
        await asyncio.sleep(calm_seconds)
        for zone, rate in flows_per_second.items():
            self._start_task(self.clients[zone].run(rate))

    def stop(self) -> None:
        """End all tasks and record how the flows ended."""
        for task in self.tasks:
            task.cancel()
        for zone, clients in self.clients.items():
            self.record.write(f"flows of clients in {zone}: {clients.outcomes}")

    async def order(self, word: str) -> None:
        """Order the start or the end of the evacuation of `zone-b`."""
        path = f"/-/Evacuation.{word}/zone-b"
        status = await asyncio.to_thread(self.operator.order, path, b"", path, ORDER_SECONDS)
        if status != 200:
            raise CannotRunError(f"{path} is not acknowledged")

    def is_any_overloaded(self) -> bool:
        """Return whether a server got more than it may while it was cold the last time."""
        return sum(map(self._is_overloaded, self.list_cold_servers())) > 0

    def _is_overloaded(self, server: Server) -> bool:
        end = server.cold_from + self.limits.warmup_seconds
        most, at = count_most(server.openings, server.cold_from, end)
        limit = self.limits.requests_per_second
        is_broken = most > limit
        verdict = "BROKEN: " if is_broken else ""
        self.record.write(
            f"{verdict}cold server {server.name} got at most {most} requests in one second, from "
            f"{at:.3f} s on; the limit is {limit:g}"
        )
        return is_broken

    def _start_task(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _start_processes(self) -> None:
        for host in (*self.deployment.controls, *self.deployment.balancers):
            if host not in self.deployment.spares:
                self.deployment.start(host)
        fields = {
            "warmup_s": self.limits.warmup_seconds,
            "warmup_per_s": self.limits.warmup_per_second,
        }
        body = json.dumps(make_configuration(7, 1, self.service, **fields)).encode()
        if self.operator.order("/-/Config.Put", body, "configuration 7", START_SECONDS) != 200:
            raise CannotRunError("the first configuration is not acknowledged")

    def _wait_ready(self) -> None:
        for host in self.deployment.balancers:
            if host not in self.deployment.spares:
                self.deployment.wait_ready(host)


def count_most(openings: list[Opening], start: float, end: float) -> tuple[int, float]:
    """Return the most openings in any second of a span that were sent and arrived in it."""
    counted = [item for item in openings if item.sent_at >= start and item.arrived_at <= end]
    most, at = 0, start
    for first in counted:
        inside = [
            item
            for item in counted
            if item.sent_at >= first.sent_at and item.arrived_at < first.sent_at + 1.0
        ]
        if len(inside) > most:
            most, at = len(inside), first.sent_at
    return most, at


def run_scene(
    folder: Path, deployment_size: int, limits: ColdLimits, play: Callable[..., Any]
) -> int:
    """Run a case: `play` gets the record and the deployment; return the exit status."""
    record = Record(folder / "record.txt")
    deployment = None
    try:
        deployment = Deployment(record, deployment_size, dict(limits.bounds))
        return int(asyncio.run(play(record, deployment)))
    except CannotRunError as error:
        record.write(f"can't run: {error}")
        return 2
    finally:
        if deployment is not None:
            deployment.stop()
