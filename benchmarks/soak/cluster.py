"""A small deployment on loopback: instances, proxies, fabric, clients, upstreams, operators."""

import contextlib
import json
import random
import signal
import socket
from pathlib import Path
from typing import Any

import trio

from benchmarks.soak.checks import GuaranteeChecks
from benchmarks.soak.evacuations import EvacuationOperator
from benchmarks.soak.garbage import make_call, make_datagram, make_stream, send_to_stream
from benchmarks.soak.plan import Features
from benchmarks.soak.processes import RoleProcess
from benchmarks.soak.proxy import Proxy
from benchmarks.standins.platform_client import StandInClient
from benchmarks.standins.platform_upstream import StandInUpstream
from chicorypost.base import Endpoint
from chicorypost.roles._admin import ADMIN_PORT
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

CONTROL_PORT = 8166
PEER_PORT = 7720
PACKET_PORT = 8172
READY_PORT = 8167
UPSTREAM_PORT = 8080
GARBAGE_COUNT = 20
"""Malformed inputs to each port in one step."""
PROBE_INTERVAL_SECONDS = 0.5
MAX_MISSED_PROBES = 2
SUPERVISION_INTERVAL_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.5
LINK_MEGABITS = 0.3
"""Link speed in the balancers' settings; so low that packets are queued now and then."""
SERVICES = ("orders", "archive")
DATA_CENTRES = ("a", "b", "c")
WARMUP_SECONDS = 2.0
BURST_FLOWS = 120
BURST_SECONDS = 4.0
BURST_CLIENT_NUMBER = 200
WARMUP_BOUNDS = {"warmup_overage": 1.5, "warmup_slack": 5}


class SoakCluster:
    """The processes of balancers and control instances, and the stand-ins around them.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and disks.
    network_number : int
        Second octet of the loopback addresses, so that concurrent runs use different addresses.
    rng : random.Random
        Source of randomness.
    features : Features
        Optional features that are enabled.
    operator_rng : random.Random
        Source of randomness of the operator who evacuates data centres.
    """

    def __init__(
        self,
        folder: Path,
        network_number: int,
        rng: random.Random,
        features: Features,
        operator_rng: random.Random,
    ) -> None:
        self.features = features
        self.balancing = {"shared_observations": True} if features.shares_observations else {}
        self.network_number = network_number
        self.rng = rng
        self.folder = folder
        self.virtual_addresses = {("198.18.0.1", 443 + n): name for n, name in enumerate(SERVICES)}
        self.checks = GuaranteeChecks(dict(self.virtual_addresses))
        self.evacuations = EvacuationOperator(self, self.checks, operator_rng)
        self.burst_client = StandInClient(
            self.host_address(5, BURST_CLIENT_NUMBER),
            PACKET_PORT,
            self.send_packet,
            self._record,
            operator_rng,
        )
        self.controls = [self._make_control(number) for number in range(3)]
        self.proxies = [proxy for number in range(3) for proxy in self._make_proxies(number)]
        self.balancers = [self._make_balancer(number) for number in range(4)]
        self.upstreams: list[StandInUpstream] = []
        self.started_upstreams = 0
        self.last_version = 0
        self.missed_probes = dict.fromkeys(range(4), MAX_MISSED_PROBES)
        self.packet_loss = 0.0
        self.fabric_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.fabric_socket.setblocking(False)
        self.nursery: trio.Nursery | None = None

    def host_address(self, kind: int, number: int) -> str:
        """Return the loopback address of an instance, client or upstream."""
        return f"127.{self.network_number}.{kind}.{number + 1}"

    def _seed_addresses(self) -> list[str]:
        return [f"{self.host_address(1, number)}:{CONTROL_PORT}" for number in range(3)]

    def _make_settings(self, name: str, host: str, number: int) -> dict[str, Any]:
        settings = {
            "node_name": name,
            "ip": host,
            "zone": DATA_CENTRES[number % 3],
            "internal_ports": [PEER_PORT, PEER_PORT + 10],
            "seeds": self._seed_addresses(),
            "bootstrap": True,
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "fault_tolerance": {"machines": 1},
            "limits": {"link_mbps": LINK_MEGABITS},
        }
        if self.features.has_warmup:
            settings["bounds"] = WARMUP_BOUNDS
        return settings

    def _make_control(self, number: int) -> RoleProcess:
        name = f"control-{number}"
        folder = self.folder / name
        settings = self._make_settings(name, self.host_address(2, number), number)
        settings["listen"] = {"control": f"{self.host_address(1, number)}:{CONTROL_PORT}"}
        settings["data_dir"] = str(folder / "disk")
        return RoleProcess("control", settings, folder, self.balancing)

    def _make_proxies(self, number: int) -> list[Proxy]:
        proxy_host, instance_host = self.host_address(1, number), self.host_address(2, number)
        return [
            Proxy(Endpoint(proxy_host, port), Endpoint(instance_host, port))
            for port in (CONTROL_PORT, PEER_PORT)
        ]

    def _make_balancer(self, number: int) -> RoleProcess:
        name, host = f"balancer-{number}", self.host_address(3, number)
        settings = self._make_settings(name, host, number)
        settings["listen"] = {
            "datagram_addr": f"{host}:{PACKET_PORT}",
            "readiness_addr": f"{host}:{READY_PORT}",
        }
        return RoleProcess("balancer", settings, self.folder / name, self.balancing)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all processes and stand-ins and submit the first configuration."""
        self.nursery = nursery
        for proxy in self.proxies:
            await nursery.start(proxy.run)
        for process in (*self.controls, *self.balancers):
            process.start()
        nursery.start_soon(self.burst_client.receive)
        for number in range(6):
            self.start_upstream(SERVICES[number % 3 // 2], number)
        nursery.start_soon(self._probe_balancers)
        nursery.start_soon(self._restart_exited_processes)
        while not await self.put_configuration(self.last_version + 1):
            await trio.sleep(0.2)

    def stop(self) -> None:
        """Kill every process."""
        for process in (*self.controls, *self.balancers):
            process.send_signal(signal.SIGCONT)
            process.kill()
        self.fabric_socket.close()

    def start_upstream(self, service: str, data_centre_number: int) -> StandInUpstream:
        """Start an upstream with its own address."""
        assert self.nursery is not None
        number = self.started_upstreams
        self.started_upstreams += 1
        upstream = StandInUpstream(
            f"i-{number + 0x1000:x}",
            service,
            DATA_CENTRES[data_centre_number % 3],
            Endpoint(self.host_address(4, number), UPSTREAM_PORT),
            PACKET_PORT,
            self._control_endpoints,
            self._record,
            HEARTBEAT_SECONDS,
            WARMUP_SECONDS if self.features.has_warmup else 0.0,
        )
        self.upstreams.append(upstream)
        self.nursery.start_soon(upstream.run)
        return upstream

    def _record(self, kind: str, **values: Any) -> None:
        self.checks.now = trio.current_time()
        self.checks.record(kind, **values)

    def has_usable_upstream(self, service: str) -> bool:
        """Return whether a service has a warm upstream that isn't evacuated."""
        return any(
            item.service == service
            and item.data_centre not in self.evacuations.ordered
            and item.warmup_left_seconds <= 0.0
            for item in self.live_upstreams()
        )

    def live_upstreams(self) -> list[StandInUpstream]:
        """Return the upstreams that are running and not draining."""
        return [
            item
            for item in self.upstreams
            if item.state == "ready" and not item.scope.cancel_called
        ]

    def _control_endpoints(self) -> list[Endpoint]:
        endpoints = [Endpoint(self.host_address(1, number), CONTROL_PORT) for number in range(3)]
        self.rng.shuffle(endpoints)
        return endpoints

    async def _restart_exited_processes(self) -> None:
        """Restart processes after unexpected exits and record the exits."""
        while True:
            await trio.sleep(SUPERVISION_INTERVAL_SECONDS)
            for process in (*self.controls, *self.balancers):
                exit_detail = process.restart_if_exited()
                if exit_detail:
                    self.checks.record("ended", detail=exit_detail)

    async def _probe_balancers(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(self._probe_balancer, number)
                nursery.start_soon(trio.sleep, PROBE_INTERVAL_SECONDS)

    async def _probe_balancer(self, number: int) -> None:
        request = ExchangeRequest("GET", "/-/ready", (("host", "x"),))
        response: object = None
        with trio.move_on_after(PROBE_INTERVAL_SECONDS):
            endpoint = Endpoint(self.host_address(3, number), READY_PORT)
            response = await exchange_once(endpoint, request, 4096)
        is_ready = isinstance(response, ExchangeResponse) and response.status == 200
        self.missed_probes[number] = 0 if is_ready else self.missed_probes[number] + 1

    def send_packet(self, data: bytes, port: int) -> None:
        """Send a client's packet to a balancer, selected by the port as in the fabric.

        The balancer is one of the ready ones, or any if none is ready. A share `packet_loss` of the
        packets is dropped.
        """
        if self.rng.random() < self.packet_loss:
            return
        ready = [
            number for number, misses in self.missed_probes.items() if misses < MAX_MISSED_PROBES
        ]
        number = (ready or list(self.missed_probes))[port % len(ready or self.missed_probes)]
        try:
            self.fabric_socket.sendto(data, (self.host_address(3, number), PACKET_PORT))
        except OSError:
            # The balancer isn't listening; the client retransmits the packet.
            return

    async def send_garbage(self, target: int) -> None:
        """Send malformed input to every port of a control instance and of a balancer.

        The number of the target determines both instances and the input.
        """
        rng = random.Random(target)
        control_host = self.host_address(2, target % 3)
        balancer_host = self.host_address(3, target % 4)
        async with trio.open_nursery() as nursery:
            for _ in range(GARBAGE_COUNT):
                for endpoint, data in (
                    (Endpoint(control_host, CONTROL_PORT), make_call(rng)),
                    (Endpoint(control_host, PEER_PORT), make_stream(rng)),
                    (Endpoint(control_host, ADMIN_PORT), make_call(rng)),
                    (Endpoint(balancer_host, READY_PORT), make_call(rng)),
                    (Endpoint(balancer_host, ADMIN_PORT), make_call(rng)),
                ):
                    nursery.start_soon(send_to_stream, endpoint, data)
                with contextlib.suppress(OSError):
                    datagram = make_datagram(rng)
                    self.fabric_socket.sendto(datagram, (balancer_host, PACKET_PORT))

    def make_client(self, number: int) -> StandInClient:
        """Return a client with its own address."""
        rng = random.Random(self.rng.getrandbits(32))
        return StandInClient(
            self.host_address(5, number), PACKET_PORT, self.send_packet, self.checks.record, rng
        )

    def start_burst(self) -> None:
        """Start short flows to all services, so many that cold upstreams would get too many."""
        assert self.nursery is not None
        if self.features.has_warmup:
            self.nursery.start_soon(self._send_burst)

    async def _send_burst(self) -> None:
        targets = list(self.virtual_addresses)
        async with trio.open_nursery() as nursery:
            for number in range(BURST_FLOWS):
                target = targets[number % len(targets)]
                nursery.start_soon(self.burst_client.run_flow, target, 1, 0.0)
                await trio.sleep(BURST_SECONDS / BURST_FLOWS)

    async def put_configuration(self, version: int, max_attempts: int = 6) -> bool:
        """Send a configuration until it is acknowledged, at most `max_attempts` times.

        Returns
        -------
        bool
            Whether the configuration was acknowledged.
        """
        self.last_version = max(self.last_version, version)
        body = json.dumps(self.make_configuration(version)).encode()
        for _ in range(max_attempts):
            if await self.call_control("POST", "/-/Config.Put", body, (200,)) is not None:
                self.checks.record("put-acknowledged", version=version)
                return True
        return False

    async def put_invalid_configuration(self) -> None:
        """Send an invalid configuration and record a finding if it is acknowledged."""
        body = self.make_configuration(self.last_version + 1000)
        body["routes"][0]["timeout_ms"] = 0
        response = await self.call_control(
            "POST", "/-/Config.Put", json.dumps(body).encode(), (200,)
        )
        if response is not None:
            self.checks.record("read", version=0, floor=1)

    async def read_version(self) -> int | None:
        """Read the configuration and record its version; return None without a response."""
        floor = self.checks.acknowledged_version
        response = await self.call_control("GET", "/-/Config.Get", b"", (200,))
        if response is None:
            return None
        version = int(json.loads(response.body)["version"])
        self.checks.record("read", version=version, floor=floor)
        return version

    async def call_control(
        self, method: str, path: str, body: bytes, accepted_statuses: tuple[int, ...]
    ) -> ExchangeResponse | None:
        """Send a call to a random control instance and follow its redirects.

        Returns
        -------
        ExchangeResponse or None
            The response; None if it has another status or none arrives in time.
        """
        endpoint = self._control_endpoints()[0]
        for _ in range(3):
            response: object = None
            request = ExchangeRequest(method, path, (("host", "x"),), body)
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                response = await exchange_once(endpoint, request, 1024 * 1024)
            if not isinstance(response, ExchangeResponse):
                return None
            location = response.header("location")
            if response.status != 307 or location is None:
                return response if response.status in accepted_statuses else None
            host, _, port = location.split("/")[2].partition(":")
            endpoint = Endpoint(host, int(port))
        return None

    def make_configuration(self, version: int) -> dict[str, Any]:
        """Return a valid configuration; the route timeout depends on the version."""
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
            for (host, port), name in self.virtual_addresses.items()
        ]
        warmup = {"warmup_s": WARMUP_SECONDS} if self.features.has_warmup else {}
        services = [
            {"name": name, "health_path": "/", "max_conns": 100, **warmup} for name in SERVICES
        ]
        limits = {"idle_timeout_ms": 15_000}
        return {"version": version, "routes": routes, "services": services, "limits": limits}
