"""A small deployment on loopback: machines, proxies, fabric, clients, upstreams, operators."""

import json
import random
import signal
import socket
from pathlib import Path
from typing import Any

import trio

from benchmarks.soak.checks import Checks
from benchmarks.soak.processes import RoleProcess
from benchmarks.soak.proxy import Proxy
from benchmarks.standins.platform_client import StandInClient
from benchmarks.standins.platform_upstream import StandInUpstream
from chicorypost.base import Endpoint
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

CONTROL_PORT = 8166
PEER_PORT = 7720
PACKET_PORT = 8172
READY_PORT = 8167
UPSTREAM_PORT = 8080
PROBE_SECONDS = 0.5
MISSES = 2
SUPERVISE_SECONDS = 0.2
CALL_SECONDS = 1.0
BEAT_SECONDS = 0.5
LINK_MEGABITS = 0.3
"""Link that balancers are told of: so thin that packets wait in them now and then."""
SERVICES = ("orders", "archive")
DATA_CENTRES = ("a", "b", "c")


class World:
    """Everything around the processes, and the processes.

    Parameters
    ----------
    folder : Path
        Where settings, logs and disks are.
    net : int
        Second number of the loopback addresses, so that runs beside each other don't meet.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, folder: Path, net: int, rng: random.Random) -> None:
        self.net = net
        self.rng = rng
        self.folder = folder
        self.targets = {("198.18.0.1", 443 + n): name for n, name in enumerate(SERVICES)}
        self.checks = Checks(dict(self.targets))
        self.controls = [self._control(number) for number in range(3)]
        self.proxies = [proxy for number in range(3) for proxy in self._proxies(number)]
        self.balancers = [self._balancer(number) for number in range(4)]
        self.upstreams: list[StandInUpstream] = []
        self.started_upstreams = 0
        self.version = 0
        self.misses = dict.fromkeys(range(4), MISSES)
        self.lose_packets = 0.0
        self.fabric = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.fabric.setblocking(False)
        self.nursery: trio.Nursery | None = None

    def host(self, kind: int, number: int) -> str:
        """Return the loopback address of a machine."""
        return f"127.{self.net}.{kind}.{number + 1}"

    def _seeds(self) -> list[str]:
        return [f"{self.host(1, number)}:{CONTROL_PORT}" for number in range(3)]

    def _settings(self, name: str, host: str, number: int) -> dict[str, Any]:
        return {
            "node_name": name,
            "ip": host,
            "zone": DATA_CENTRES[number % 3],
            "internal_ports": [PEER_PORT, PEER_PORT + 10],
            "seeds": self._seeds(),
            "bootstrap": True,
            "heartbeat_interval_ms": int(BEAT_SECONDS * 1000),
            "fault_tolerance": {"machines": 1},
            "limits": {"link_mbps": LINK_MEGABITS},
        }

    def _control(self, number: int) -> RoleProcess:
        name = f"control-{number}"
        folder = self.folder / name
        settings = self._settings(name, self.host(2, number), number)
        settings["listen"] = {"control": f"{self.host(1, number)}:{CONTROL_PORT}"}
        settings["data_dir"] = str(folder / "disk")
        return RoleProcess("control", settings, folder)

    def _proxies(self, number: int) -> list[Proxy]:
        near, far = self.host(1, number), self.host(2, number)
        return [
            Proxy(Endpoint(near, port), Endpoint(far, port)) for port in (CONTROL_PORT, PEER_PORT)
        ]

    def _balancer(self, number: int) -> RoleProcess:
        name, host = f"balancer-{number}", self.host(3, number)
        settings = self._settings(name, host, number)
        settings["listen"] = {
            "datagram_addr": f"{host}:{PACKET_PORT}",
            "readiness_addr": f"{host}:{READY_PORT}",
        }
        return RoleProcess("balancer", settings, self.folder / name)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and the first configuration."""
        self.nursery = nursery
        for proxy in self.proxies:
            await nursery.start(proxy.run)
        for process in (*self.controls, *self.balancers):
            process.start()
        for number in range(6):
            self.start_upstream(SERVICES[number % 3 // 2], number)
        nursery.start_soon(self._probe_balancers)
        nursery.start_soon(self._supervise)
        while not await self.put(self.version + 1):
            await trio.sleep(0.2)

    def stop(self) -> None:
        """End every process that was started."""
        for process in (*self.controls, *self.balancers):
            process.signal(signal.SIGCONT)
            process.kill()
        self.fabric.close()

    def start_upstream(self, service: str, place: int) -> StandInUpstream:
        """Start an upstream at an address of its own."""
        assert self.nursery is not None
        number = self.started_upstreams
        self.started_upstreams += 1
        upstream = StandInUpstream(
            f"i-{number + 0x1000:x}",
            service,
            DATA_CENTRES[place % 3],
            Endpoint(self.host(4, number), UPSTREAM_PORT),
            PACKET_PORT,
            self._control_endpoints,
            self.checks.note,
            BEAT_SECONDS,
        )
        self.upstreams.append(upstream)
        self.nursery.start_soon(upstream.run)
        return upstream

    def live_upstreams(self) -> list[StandInUpstream]:
        """Return the upstreams that run and don't leave."""
        return [
            item
            for item in self.upstreams
            if item.state == "ready" and not item.scope.cancel_called
        ]

    def _control_endpoints(self) -> list[Endpoint]:
        endpoints = [Endpoint(self.host(1, number), CONTROL_PORT) for number in range(3)]
        self.rng.shuffle(endpoints)
        return endpoints

    async def _supervise(self) -> None:
        """Start processes again that have ended by themselves."""
        while True:
            await trio.sleep(SUPERVISE_SECONDS)
            for process in (*self.controls, *self.balancers):
                end = process.restart_if_ended()
                if end:
                    self.checks.note("ended", detail=end)

    async def _probe_balancers(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(self._probe, number)
                nursery.start_soon(trio.sleep, PROBE_SECONDS)

    async def _probe(self, number: int) -> None:
        request = ExchangeRequest("GET", "/-/ready", (("host", "x"),))
        answer: object = None
        with trio.move_on_after(PROBE_SECONDS):
            endpoint = Endpoint(self.host(3, number), READY_PORT)
            answer = await exchange_once(endpoint, request, 4096)
        is_ready = isinstance(answer, ExchangeResponse) and answer.status == 200
        self.misses[number] = 0 if is_ready else self.misses[number] + 1

    def send_packet(self, data: bytes, port: int) -> None:
        """Hand a client's packet to a balancer in rotation, as the fabric does."""
        if self.rng.random() < self.lose_packets:
            return
        ready = [number for number, misses in self.misses.items() if misses < MISSES]
        number = (ready or list(self.misses))[port % len(ready or self.misses)]
        try:
            self.fabric.sendto(data, (self.host(3, number), PACKET_PORT))
        except OSError:
            # The balancer's machine refuses: the client sends the packet again.
            return

    def make_client(self, number: int) -> StandInClient:
        """Return a client with an address of its own."""
        rng = random.Random(self.rng.getrandbits(32))
        return StandInClient(
            self.host(5, number), PACKET_PORT, self.send_packet, self.checks.note, rng
        )

    async def put(self, version: int, limit: int = 6) -> bool:
        """Send a configuration until it is acknowledged; return whether it was."""
        self.version = max(self.version, version)
        body = json.dumps(self.configuration(version)).encode()
        for _ in range(limit):
            if await self._call("POST", "/-/Config.Put", body, (200,)) is not None:
                self.checks.note("put-acknowledged", version=version)
                return True
        return False

    async def put_bad(self) -> None:
        """Send a configuration that isn't valid; it must never be acknowledged."""
        body = self.configuration(self.version + 1000)
        body["routes"][0]["timeout_ms"] = 0
        answer = await self._call("POST", "/-/Config.Put", json.dumps(body).encode(), (200,))
        if answer is not None:
            self.checks.note("read", version=0, floor=1)

    async def read_version(self) -> int | None:
        """Read the configuration and check its version; None if nobody answers."""
        floor = self.checks.acknowledged
        answer = await self._call("GET", "/-/Config.Get", b"", (200,))
        if answer is None:
            return None
        version = int(json.loads(answer.body)["version"])
        self.checks.note("read", version=version, floor=floor)
        return version

    async def _call(
        self, method: str, path: str, body: bytes, wanted: tuple[int, ...]
    ) -> ExchangeResponse | None:
        endpoint = self._control_endpoints()[0]
        for _ in range(3):
            answer: object = None
            request = ExchangeRequest(method, path, (("host", "x"),), body)
            with trio.move_on_after(CALL_SECONDS):
                answer = await exchange_once(endpoint, request, 1024 * 1024)
            if not isinstance(answer, ExchangeResponse):
                return None
            location = answer.header("location")
            if answer.status != 307 or location is None:
                return answer if answer.status in wanted else None
            host, _, port = location.split("/")[2].partition(":")
            endpoint = Endpoint(host, int(port))
        return None

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration; versions differ in their time-outs."""
        routes = [
            {
                "name": f"r-{name}",
                "host": host,
                "path_prefix": f"/{port}/",
                "route_type": "unsafe",
                "timeout_ms": 1000 + version,
                "target_latency_ms": 100,
                "priority": 1,
                "service": name,
            }
            for (host, port), name in self.targets.items()
        ]
        services = [{"name": name, "health_path": "/", "max_conns": 100} for name in SERVICES]
        limits = {"idle_timeout_ms": 15_000}
        return {"version": version, "routes": routes, "services": services, "limits": limits}
