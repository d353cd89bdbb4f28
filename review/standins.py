"""Stand-ins of the platform, of clients and of backends for the cases of the review.

Only the standard library is used. The stand-ins follow the users' pages; the processes of the
project are started with the commands of `deploy/system.toml`.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
CONTROL_PORT = 8166
PEER_PORT = 7720
PACKET_PORT = 8172
READY_PORT = 8167
BACKEND_PORT = 8347
ADMIN_PORT = 9102
CALL_SECONDS = 1.0
ZONES = ("a", "b", "c")
HEARTBEAT_SECONDS = 0.5

SYN, ACK, FIN, RST = 32, 8, 4, 16
HEADER = struct.Struct(">IHIIBBHHIII")
OPENING_WAITS = (0.2, 0.4, 0.8)
"""Waits after the opening packet and after each of its copies, by the users' page."""
DATA_WAITS = (0.2, 0.4, 0.8, 1.6)

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def is_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def int_of(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def reserve_network() -> tuple[int, socket.socket]:
    """Return a second octet of loopback addresses at which the needed ports are free.

    The socket reserves the addresses against other runs until it is closed.
    """
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    hosts = [f"{kind}.{index}" for kind in (1, 3, 4) for index in range(1, 6)]
    for number in numbers:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind((f"127.{number}.0.1", CONTROL_PORT))
            for host in hosts:
                for port in (CONTROL_PORT, PEER_PORT, READY_PORT, ADMIN_PORT):
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                        # Connections of earlier runs that have been closed are no hindrance.
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{number}.{host}", port))
        except OSError:
            reservation.close()
            continue
        return number, reservation
    raise RuntimeError("no free loopback addresses")


async def call(
    host: str, port: int, method: str, path: str, body: bytes = b"", seconds: float = CALL_SECONDS
) -> tuple[int, dict[str, str], bytes] | None:
    """Make one HTTP call; return status, headers and body, or None without a response."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {host}:{port}\r\nconnection: close\r\n"
                f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            headers = {}
            while line := (await reader.readline()).strip():
                name, _, value = line.decode("latin-1").partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            return status, headers, await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Node:
    """One machine of the system: its settings, its data folder and its process."""

    def __init__(self, role: str, number: int, settings: dict[str, Any], folder: Path) -> None:
        self.role = role
        self.number = number
        self.settings = settings
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def host(self) -> str:
        """Address of the machine."""
        return str(self.settings["ip"])

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"][self.role]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        environment["CHICORYPOST_NODE_FILE"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """The machines of a small deployment on loopback, and the routers in front of them."""

    def __init__(self, record: Record, controls: int = 3, balancers: int = 3) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise RuntimeError("target/deps is missing: run the build of the deploy file first")
        self.record = record
        self.network, self.reservation = reserve_network()
        self.folder = Path(tempfile.mkdtemp(prefix="chicorypost-review-"))
        self.seeds = [f"{self.address(1, n)}:{CONTROL_PORT}" for n in range(min(3, controls))]
        self.controls = [self.make_control(number, True) for number in range(controls)]
        self.balancers = [self.make_balancer(number) for number in range(balancers)]
        self.misses = dict.fromkeys(range(balancers), 2)
        self.router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.openings: dict[tuple[bytes, int], tuple[float, int]] = {}
        """When a client sent each copy of an opening, by flow and copy, and the balancer."""

    def address(self, kind: int, number: int) -> str:
        """Return the address of a machine, client or backend."""
        return f"127.{self.network}.{kind}.{number + 1}"

    def make_settings(self, role: str, host: str, number: int, bootstrap: bool) -> dict[str, Any]:
        """Return the settings of a machine as the platform writes them."""
        zone = ZONES[number % len(ZONES)]
        return {
            "node_name": f"{role}-{zone}-{number + 1}",
            "role": role,
            "machine_class": "core" if role == "control" else "edge",
            "serves": ["control" if role == "control" else "edge"],
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "counts_as_loss": role == "control",
            "limits": {"max_fds": 1024, "link_mbps": 350.0, "memory_mb": 222},
            "data_dir": None,
            "discovery": "registry",
            "entry_kind": "announce",
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "stable_window_ms": 4000,
                "ack_ms": 5000,
                "catch_up_s": 4,
                "drain_ms": 3000,
                "grace_s": 6,
                "config_apply_ms": 3000,
            },
            "config_mode": "highest",
            "hash": "steady",
            "deploy_mode": "echo",
        }

    def make_control(self, number: int, bootstrap: bool) -> Node:
        """Return a machine with the control role and an empty disk."""
        host = self.address(1, number)
        settings = self.make_settings("control", host, number, bootstrap)
        folder = self.folder / f"control-{number}"
        settings["listen"] = {"control": f"{host}:{CONTROL_PORT}"}
        settings["data_dir"] = str(folder / "disk")
        (folder / "disk").mkdir(parents=True)
        return Node("control", number, settings, folder)

    def make_balancer(self, number: int) -> Node:
        """Return a machine with the balancer role."""
        host = self.address(3, number)
        settings = self.make_settings("balancer", host, number, True)
        settings["listen"] = {
            "datagram_addr": f"{host}:{PACKET_PORT}",
            "readiness_addr": f"{host}:{READY_PORT}",
        }
        return Node("balancer", number, settings, self.folder / f"balancer-{number}")

    def start(self) -> None:
        """Start all processes."""
        for node in (*self.controls, *self.balancers):
            node.start()

    def add_control(self, number: int) -> None:
        """Start an added machine with the control role and an empty disk."""
        self.controls.append(self.make_control(number, False))
        self.controls[-1].start()

    def stop(self) -> None:
        """Kill all processes and remove the folder."""
        for node in (*self.controls, *self.balancers):
            node.kill()
        self.router.close()
        self.reservation.close()
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def probe_balancers(self) -> None:
        """Probe the readiness of each balancer twice a second."""
        while True:
            pause = asyncio.create_task(asyncio.sleep(0.5))
            await asyncio.gather(*(self._probe(number) for number in self.misses))
            await pause

    async def _probe(self, number: int) -> None:
        answer = await call(
            self.balancers[number].host, READY_PORT, "GET", "/-/ready", seconds=0.45
        )
        is_ready = answer is not None and answer[0] == 200
        self.misses[number] = 0 if is_ready else self.misses[number] + 1

    def ready_balancers(self) -> list[int]:
        """Return the balancers in rotation."""
        return [number for number, misses in self.misses.items() if misses < 2]

    def forward(self, data: bytes) -> None:
        """Pass a client's packet to the balancer that the hash of its addresses selects."""
        key = data[16:28]
        ready = self.ready_balancers() or list(self.misses)
        chosen = max(ready, key=lambda number: hashlib.md5(key + bytes([number])).digest())
        _, _, _, copies, flags, *_ = HEADER.unpack_from(data)
        if flags & SYN:
            self.openings[key, copies] = (time.monotonic(), chosen)
        self.router.sendto(data, (self.balancers[chosen].host, PACKET_PORT))

    async def call_control(
        self, number: int, method: str, path: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Call a control instance and follow a redirect twice, as every caller does."""
        host = self.address(1, number)
        port = CONTROL_PORT
        answer = None
        for _ in range(3):
            answer = await call(host, port, method, path, body)
            if answer is None or answer[0] != 307:
                return answer
            host, _, text = answer[1]["location"].split("/")[2].partition(":")
            port = int(text)
        return answer

    async def put(
        self, body: bytes, label: str, seconds: float, numbers: tuple[int, ...] = (0, 1, 2)
    ) -> int:
        """Send a configuration to one node after the other until an answer ends the call.

        Returns
        -------
        int
            The status that ended the call; 0 if no node gave one in time.
        """
        deadline = time.monotonic() + seconds
        pause = 0.1
        while time.monotonic() < deadline:
            for number in numbers:
                answer = await self.call_control(number, "POST", "/-/Config.Put", body)
                status = answer[0] if answer is not None else 0
                self.record.write(f"put {label} to control {number}: {status or 'no response'}")
                if status == 200 or status in (400, 409, 412, 413, 422):
                    return status
                await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)
        return 0


class Link:
    """The link between one backend and the machines of the system, which can be cut.

    While it is cut, no byte passes and no connection opens. What was written to an open connection
    arrives after the cut, also if its sender has closed it meanwhile, when TCP sends it again: 0.2,
    0.6, 1.4, 3, 6.2, 12.6 seconds after the first time.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.is_cut = False
        self.healed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.relays: set[asyncio.Task[None]] = set()

    def host(self, number: int) -> str:
        """Return the address at which the backend reaches a control instance."""
        return self.deployment.address(6, number)

    async def start(self) -> None:
        """Listen in place of the control instances."""
        for number in range(len(self.deployment.controls)):

            async def relay(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int = number
            ) -> None:
                task = asyncio.ensure_future(self._relay(number, reader, writer))
                self.relays.add(task)
                task.add_done_callback(self.relays.discard)

            server = await asyncio.start_server(relay, self.host(number), CONTROL_PORT)
            self.servers.append(server)

    async def stop(self) -> None:
        """Stop listening and relaying."""
        for server in self.servers:
            server.close()
        relays = list(self.relays)
        for task in relays:
            task.cancel()
        await asyncio.gather(*relays, return_exceptions=True)

    def cut(self) -> None:
        """Cut the link."""
        self.is_cut = True
        self.healed.clear()
        self.record.write("the link of the backend is cut")

    def heal(self) -> None:
        """Join the link."""
        self.is_cut = False
        self.healed.set()
        self.record.write("the link of the backend is whole again")

    async def _relay(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        inner_writer = None
        try:
            early_data = await self._wait_until_open(reader)
            if early_data is None:
                return
            inner_reader, inner_writer = await asyncio.open_connection(
                self.deployment.address(1, number), CONTROL_PORT
            )
            await asyncio.gather(self._copy(reader, inner_writer), self._copy(inner_reader, writer))
        except OSError:
            return
        finally:
            writer.close()
            if inner_writer is not None:
                inner_writer.close()

    async def _wait_until_open(self, reader: asyncio.StreamReader) -> bytes | None:
        """Wait for the end of a cut; return what was written, or None if the sender has given up.

        A connection that is closed before it is open sends nothing.
        """
        early_data = b""
        while self.is_cut:
            try:
                async with asyncio.timeout(0.02):
                    data = await reader.read(65536)
            except TimeoutError:
                continue
            if not data:
                return None
            early_data += data
        return early_data

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            if self.is_cut:
                sent_at = time.monotonic()
                await self.healed.wait()
                pause = 0.2
                resent_at = sent_at + pause
                while resent_at < time.monotonic():
                    pause *= 2
                    resent_at += pause
                await asyncio.sleep(resent_at - time.monotonic())
                waited = time.monotonic() - sent_at
                self.record.write(f"arrives after {waited:.1f} s: {data[:60]!r}")
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class Caller:
    """Calls control instances over one connection, and over another one after a failure."""

    def __init__(self, deployment: Deployment, link: Link | None) -> None:
        self.deployment = deployment
        self.link = link
        self.number = random.randrange(3)
        self.lock = asyncio.Lock()
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection; what was written to it is still sent."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def call(self, method: str, path: str, body: bytes) -> int:
        """Make one call; return its status, or 0 without a response within a second."""
        async with self.lock:
            status = await self._call(method, path, body)
            if status // 100 != 2:
                self.close()
                self.number = (self.number + 1) % 3
            return status

    async def _call(self, method: str, path: str, body: bytes) -> int:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                if self.streams is None:
                    host = self.deployment.address(1, self.number)
                    if self.link is not None:
                        host = self.link.host(self.number)
                    self.streams = await asyncio.open_connection(host, CONTROL_PORT)
                reader, writer = self.streams
                head = (
                    f"{method} {path} HTTP/1.1\r\nhost: control\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
                status = int((await reader.readline()).split()[1])
                length = 0
                while line := (await reader.readline()).strip():
                    name, _, value = line.decode("latin-1").partition(":")
                    length = int(value) if name.lower() == "content-length" else length
                await reader.readexactly(length)
                return status
        except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
            return 0


@dataclass
class Flow:
    """A flow at a backend.

    `first` is the backend's first sequence number, `sent` counts the bytes that it has sent, and
    `expected` is the sequence number of the client's next request. `last` is the latest response,
    with its sequence number, for copies of its request.
    """

    first: int
    expected: int
    sent: int = 0
    last: tuple[int, int, bytes] | None = None


class Backend:
    """A backend: announces itself, accepts flows and answers requests.

    Parameters
    ----------
    name : str
        Its id; the hex digits are its number in datagrams.
    service : str
        The service that it belongs to.
    on_run : callable
        Called with the backend, the target port and the request when it begins to work on one.
    link : Link, optional
        The link between this backend and the machines of the system; without it, a direct one.
    """

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        number: int,
        on_run: Callable[["Backend", int, str], None],
        link: Link | None = None,
    ) -> None:
        self.deployment = deployment
        self.link = link
        self.caller = Caller(deployment, link)
        self.name = name
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.host = deployment.address(4, number)
        self.on_run = on_run
        self.token = int("".join(c for c in name if c in "0123456789abcdef"), 16)
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_leaving = False
        """Whether it makes no heartbeats any more."""
        self.is_announcing = False
        self.flows: dict[bytes, Flow] = {}
        self.on_opening: Callable[[Backend, bytes, int], None] = lambda backend, key, copies: None
        """Called with the flow and the copy when it takes an opening packet."""
        self.is_lost: Callable[[bytes, int], bool] = lambda key, copies: False
        """Whether this copy of an opening is lost on the way to this backend."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.host, BACKEND_PORT))
        self.socket.setblocking(False)

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{BACKEND_PORT}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": 4,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def announce(self) -> int:
        """Announce to one control instance after the other until one acknowledges."""
        path = f"/-/Backends.Heartbeat/{self.name}"
        for _ in range(3):
            status = await self.caller.call("POST", path, json.dumps(self.heartbeat()).encode())
            if status // 100 == 2:
                return status
        return 0

    async def leave(self) -> int:
        """Send the leave call, which has no body, to one control instance after the other."""
        for _ in range(3):
            status = await self.caller.call("POST", f"/-/Backends.Leave/{self.name}", b"")
            if status // 100 == 2:
                return status
        return 0

    async def run(self) -> None:
        """Announce and serve until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self._receive)
        try:
            while True:
                if not self.is_leaving:
                    self.is_announcing = True
                    await self.announce()
                    self.is_announcing = False
                await asyncio.sleep(HEARTBEAT_SECONDS)
        finally:
            loop.remove_reader(self.socket)
            self.socket.close()
            self.caller.close()

    def _receive(self) -> None:
        try:
            datagram = self.socket.recv(4096)
        except OSError:
            return
        if self.link is not None and self.link.is_cut:
            return
        if int.from_bytes(datagram[:8], "big") not in (0, self.token):
            return
        self._handle(datagram[8:])

    def _handle(self, data: bytes) -> None:
        _, _, sequence, acknowledged, flags, _, _, target_port, _, _, _ = HEADER.unpack_from(data)
        payload = data[HEADER.size :]
        key = data[16:28]
        flow = self.flows.get(key)
        if flags & SYN:
            if self.is_lost(key, acknowledged):
                return
            if flow is None:
                self.on_opening(self, key, acknowledged)
                flow = self.flows[key] = Flow(random.randrange(1, 2**30), sequence + 1)
            self._send(data, SYN | ACK, flow.first, sequence + 1)
        elif flow is None or not flow.first < acknowledged <= flow.first + 1 + flow.sent:
            if not flags & RST:
                self._send(data, RST, acknowledged, 0)
        elif flags & (FIN | RST):
            del self.flows[key]
            if flags & FIN:
                self._send(data, ACK | FIN, acknowledged, sequence + 1)
        elif payload and sequence == flow.expected:
            request = payload.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            self.on_run(self, target_port, request)
            body = f"{request} {self.service} {self.name} {self.born}".encode()
            response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
            flow.expected += len(payload)
            flow.last = (sequence, flow.first + 1 + flow.sent, response)
            flow.sent += len(response)
            self._respond(data, flow, key)
        elif payload and flow.last is not None and sequence == flow.last[0]:
            self._respond(data, flow, key)

    def _respond(self, data: bytes, flow: Flow, key: bytes) -> None:
        assert flow.last is not None
        _, own_sequence, response = flow.last
        flags = ACK | FIN if self.state == "draining" else ACK
        self._send(data, flags, own_sequence, flow.expected, response)
        if flags & FIN:
            del self.flows[key]

    def _send(
        self, data: bytes, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
    ) -> None:
        _, _, _, _, _, _, source_port, target_port, target, source, echo = HEADER.unpack_from(data)
        head = HEADER.pack(
            1,
            len(payload),
            sequence,
            acknowledged,
            flags,
            0,
            target_port,
            source_port,
            source,
            target,
            echo,
        )
        client = socket.inet_ntoa(source.to_bytes(4, "big"))
        self.socket.sendto(head + payload, (client, PACKET_PORT))


class Client:
    """A client with its own address, which opens a flow for each request."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.host = deployment.address(5, number)
        self.next_port = 20_000
        self.inboxes: dict[int, asyncio.Queue[bytes]] = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.host, PACKET_PORT))
        self.socket.setblocking(False)

    def start(self) -> None:
        """Start to receive packets."""
        asyncio.get_running_loop().add_reader(self.socket, self._receive)

    def close(self) -> None:
        """Stop to receive packets."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def _receive(self) -> None:
        try:
            data = self.socket.recv(4096)
        except OSError:
            return
        inbox = self.inboxes.get(HEADER.unpack_from(data)[7])
        if inbox is not None:
            inbox.put_nowait(data)

    async def request(self, target: tuple[str, int]) -> tuple[str, str]:
        """Send one request over a flow of its own; return its id and the outcome."""
        outcomes = [item async for item in self.run_flow(target, 1, 0.0)]
        return outcomes[-1][0], outcomes[-1][1]

    async def run_flow(
        self, target: tuple[str, int], requests: int, pause: float
    ) -> AsyncIterator[tuple[str, str, str]]:
        """Open a flow and send requests over it, until it ends.

        Yields
        ------
        tuple of str, str and str
            Id, outcome and response body of each request.
        """
        port = self.next_port
        self.next_port += 1
        inbox: asyncio.Queue[bytes] = asyncio.Queue()
        self.inboxes[port] = inbox
        start = random.randrange(1, 2**30)
        try:
            opened = await self._open(target, port, inbox, start)
            if isinstance(opened, str):
                yield "", opened, ""
                return
            acknowledged, echo = opened
            sequence = start + 1
            self._send(target, port, ACK, sequence, acknowledged, echo)
            for _ in range(requests):
                name = f"{random.getrandbits(64):016x}"
                data = f"POST / HTTP/1.1\r\nhost: x\r\nX-Request-Id: {name}\r\n\r\n".encode()
                answer = None
                for wait in DATA_WAITS:
                    self._send(target, port, ACK, sequence, acknowledged, echo, data)
                    answer = await self._wait_for_answer(inbox, wait, acknowledged)
                    if answer is not None:
                        break
                if answer is None:
                    yield name, "no answer", ""
                    return
                head = HEADER.unpack_from(answer)
                if head[4] & RST:
                    yield name, "reset by the system" if head[0] == 0 else "reset", ""
                    return
                sequence += len(data)
                acknowledged += head[1]
                echo = head[10] or echo
                self._send(target, port, ACK, sequence, acknowledged, echo)
                yield name, "answered", answer[HEADER.size :].partition(b"\r\n\r\n")[2].decode()
                if head[4] & FIN:
                    return
                await asyncio.sleep(pause)
            self._send(target, port, ACK | FIN, sequence, acknowledged, echo)
        finally:
            del self.inboxes[port]

    async def _open(
        self, target: tuple[str, int], port: int, inbox: "asyncio.Queue[bytes]", start: int
    ) -> tuple[int, int] | str:
        """Return the next sequence number of the backend and its echo, or why that failed."""
        for copies, pause in enumerate(OPENING_WAITS):
            self._send(target, port, SYN, start, copies, 0)
            answer = await self._wait_for(inbox, pause, lambda head: bool(head[4] & (SYN | RST)))
            if answer is not None:
                head = HEADER.unpack_from(answer)
                return "reset while opening" if head[4] & RST else (head[2] + 1, head[10])
        return "not opened"

    async def _wait_for_answer(
        self, inbox: "asyncio.Queue[bytes]", seconds: float, acknowledged: int
    ) -> bytes | None:
        return await self._wait_for(
            inbox,
            seconds,
            lambda head: bool(head[4] & RST) or (head[1] > 0 and head[2] == acknowledged),
        )

    async def _wait_for(
        self,
        inbox: "asyncio.Queue[bytes]",
        seconds: float,
        is_wanted: Callable[[tuple[int, ...]], bool],
    ) -> bytes | None:
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await inbox.get()
                    if is_wanted(HEADER.unpack_from(packet)):
                        return packet
        except TimeoutError:
            return None

    def _send(
        self,
        target: tuple[str, int],
        port: int,
        flags: int,
        sequence: int,
        acknowledged: int,
        echo: int,
        payload: bytes = b"",
    ) -> None:
        head = HEADER.pack(
            1,
            len(payload),
            sequence,
            acknowledged,
            flags,
            0,
            port,
            target[1],
            int_of(target[0]),
            int_of(self.host),
            echo,
        )
        self.deployment.forward(head + payload)


def make_configuration(
    version: int, routes: dict[tuple[str, int], str], timeout_ms: int = 1507
) -> dict[str, Any]:
    """Return a valid configuration; `routes` maps an address and port to its service."""
    services = sorted(set(routes.values()))
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{service}-{port}",
                "host": host,
                "path_prefix": f"/{port}/",
                "route_type": "unsafe",
                "timeout_ms": timeout_ms,
                "target_latency_ms": 150,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for (host, port), service in routes.items()
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 1000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run_case(main: Callable[[Record], Any], folder: Path) -> None:
    """Run a case within its time and exit with its status."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={'1' if is_trouble() else '0'}")

    async def limited() -> int:
        async with asyncio.timeout(110):
            return int(await main(record))

    try:
        status = asyncio.run(limited())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        status = EXIT_NOT_RUN
    record.write(f"exit {status}")
    sys.exit(status)
