"""Measure patches a second and the time until accepted and in force.

Three control processes with their own data folders, and 21 balancers' followers in three data
centres, which share the process of this program. All connections are TCP on loopback.

Run with ``python -m benchmarks.configuration_force``.
"""

import argparse
import functools
import json
import random
import tempfile
import time
from pathlib import Path
from typing import Any

import trio
import uuid6

from benchmarks.reporting import report
from chicorypost.base import (
    DataCentreId,
    Effect,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    View,
    ViewChanged,
    message_types,
)
from chicorypost.configuration import (
    ConfigurationApplied,
    ConfigurationFollower,
    DistributionSettings,
)
from chicorypost.daemons import Engine, Registration
from chicorypost.daemons.tests.control_processes import ControlProcesses
from chicorypost.transport import (
    ConnectionHello,
    ExchangeRequest,
    ExchangeResponse,
    PeerNetwork,
    TlsContexts,
    TlsSettings,
    TransportSettings,
    exchange_once,
)

DATA_CENTRES = ("gent-1", "gent-2", "aalst")
BALANCERS_PER_DATA_CENTRE = 7
LEASE_SECONDS = 3.0
IN_FORCE_TIMEOUT_SECONDS = 20.0
MAX_BODY_BYTES = 1024 * 1024
MILLISECONDS_PER_SECOND = 1000


class BalancerFollower:
    """One balancer's follower with its own network, in the process of the benchmark."""

    def __init__(self, member: Member, listener: trio.SocketListener, bench: "Bench") -> None:
        self.member = member
        self.benchmark = bench
        self.listener = listener
        self.engine = Engine(self._send, lambda _: None, self._execute)
        hello = ConnectionHello(
            member.instance, member.incarnation, member.data_centre, member.control
        )
        tls = TlsContexts(TlsSettings(off=True), lambda _: None)
        settings = TransportSettings()
        self.network = PeerNetwork(settings, hello, tls, self.engine.receive, lambda _: None)

    def start_follower(
        self, members: tuple[Member, ...], control: dict[InstanceId, Endpoint]
    ) -> None:
        """Make the follower and its network."""
        for member in members:
            self.network.learn_address(member.instance, member.control)
        for name, endpoint in control.items():
            self.network.learn_address(name, endpoint)
        source = random.Random(str(self.member.instance))
        follower = ConfigurationFollower(
            DistributionSettings(),
            self.member,
            tuple(control),
            members,
            source,
            self.engine.now(),
        )
        messages = tuple(m for m in message_types() if 210 <= _message_tag(m) < 300)
        self.engine.register(Registration("follower", follower, messages, ()))
        self.follower = follower

    def deliver_event(self, event: Any) -> None:
        """Hand an event to the follower."""
        self.engine.execute_effects(self.follower.handle(event, self.engine.now()))
        self.engine.refresh_deadlines()

    def _send(self, to: Any, message: Any) -> None:
        self.network.send(to, message)

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, ConfigurationApplied):
            self.benchmark.record_applied_version(self.member.instance, effect.version)


class PatchBenchmark:
    """The whole measurement."""

    def __init__(self, processes: ControlProcesses, patches: int) -> None:
        self.processes = processes
        self.patch_count = patches
        self.applied_versions: dict[InstanceId, int] = {}
        self.version_applied = trio.Event()
        self.accepted_seconds: list[float] = []
        self.in_force_seconds: list[float] = []
        self.failed_attempts = 0

    def record_applied_version(self, instance: InstanceId, version: int) -> None:
        """Note the version that a balancer applies."""
        self.applied_versions[instance] = version
        self.version_applied.set()

    async def submit_sequentially(self, kill: str) -> dict[str, Any]:
        """Submit the patches and return the figures."""
        members, listeners = await _make_members_and_listeners()
        control = {
            InstanceId(name): Endpoint("127.0.0.1", port)
            for name, port in self.processes.control_ports.items()
        }
        followers = [BalancerFollower(m, x, self) for m, x in zip(members, listeners, strict=True)]
        async with trio.open_nursery() as nursery:
            for follower in followers:
                nursery.start_soon(follower.network.run, follower.listener)
            await trio.sleep(0.1)
            for follower in followers:
                follower.start_follower(members, control)
                nursery.start_soon(follower.engine.run_timer)
            nursery.start_soon(_renew_leases, followers, members)
            await trio.sleep(3)
            figures = await self._submit_patches(kill)
            nursery.cancel_scope.cancel()
        return figures

    async def _submit_patches(self, kill: str) -> dict[str, Any]:
        begun = time.perf_counter()
        version = 0
        for number in range(self.patch_count):
            if kill and number == self.patch_count // 2:
                await trio.to_thread.run_sync(self._kill_process, kill)
            started = time.perf_counter()
            version = await self._submit_until_accepted(version, number)
            self.accepted_seconds.append(time.perf_counter() - started)
            await self._wait_in_force(version)
            self.in_force_seconds.append(time.perf_counter() - started)
        seconds = time.perf_counter() - begun
        return {
            "patches": self.patch_count,
            "one_after_another_per_second": round(self.patch_count / seconds, 1),
            "accepted_ms": summarise_latencies(self.accepted_seconds),
            "in_force_ms": summarise_latencies(self.in_force_seconds),
            "attempts_without_answer": self.failed_attempts,
        }

    async def submit_concurrently(self, operators: int) -> dict[str, Any]:
        """Measure accepted patches a second with several operators who race."""
        counts = {"accepted": 0, "stale": 0}
        first = await self._fetch_current_version()
        deadline = time.perf_counter() + 5.0
        async with trio.open_nursery() as nursery:
            for operator in range(operators):
                nursery.start_soon(self._submit_until, operator, first, deadline, counts)
        return {**counts, "accepted_per_second": round(counts["accepted"] / 5.0, 1)}

    async def _submit_until(
        self, operator: int, version: int, deadline: float, counts: Any
    ) -> None:
        number = operator * 100_000
        while time.perf_counter() < deadline:
            number += 1
            answer = await self._send_once(version, number, str(uuid6.uuid7()))
            if answer is None:
                continue
            body = json.loads(answer.body)
            if answer.status == 200:
                counts["accepted"] += 1
                version = body["version"]
            elif answer.status == 412:
                counts["stale"] += 1
                version = body["current_version"]

    async def _fetch_current_version(self) -> int:
        for port in self.processes.operator_ports.values():
            answer = await exchange_once(
                Endpoint("127.0.0.1", port), ExchangeRequest("GET", "/v1/config"), MAX_BODY_BYTES
            )
            if isinstance(answer, ExchangeResponse) and answer.status == 200:
                return int((answer.header("etag") or "").strip('"'))
        raise AssertionError("no control instance answers")

    def _kill_process(self, whom: str) -> None:
        leader = self.processes.wait_for_leader()
        others = [name for name in self.processes.names if name != leader]
        self.processes.kill(leader if whom == "leader" else others[0])

    async def _submit_until_accepted(self, version: int, number: int) -> int:
        patch_id = str(uuid6.uuid7())
        while True:
            answer = await self._send_once(version, number, patch_id)
            if answer is not None and answer.status == 200:
                accepted: int = json.loads(answer.body)["version"]
                return accepted

    async def _send_once(self, version: int, number: int, patch_id: str) -> ExchangeResponse | None:
        address = f"10.{number // 65536 % 200}.{number // 256 % 256}.{number % 256}:80/tcp"
        service = {"addresses": [address], "selector": {"service": "ordering"}}
        body = json.dumps({"services": {f"ordering-{number % 20}": service}}).encode()
        headers = (
            ("content-type", "application/merge-patch+json"),
            ("if-match", f'"{version}"'),
            ("patch-id", patch_id),
        )
        request = ExchangeRequest("PATCH", "/v1/config", headers, body)
        for port in list(self.processes.operator_ports.values()):
            with trio.move_on_after(2.5):
                answer = await exchange_once(Endpoint("127.0.0.1", port), request, MAX_BODY_BYTES)
                if isinstance(answer, ExchangeResponse) and answer.status < 500:
                    return answer
        self.failed_attempts += 1
        await trio.sleep(0.02)
        return None

    async def _wait_in_force(self, version: int) -> None:
        with trio.fail_after(IN_FORCE_TIMEOUT_SECONDS):
            while not self._is_in_force(version):
                self.version_applied = trio.Event()
                await self.version_applied.wait()

    def _is_in_force(self, version: int) -> bool:
        count = sum(1 for applied in self.applied_versions.values() if applied >= version)
        return count == len(DATA_CENTRES) * BALANCERS_PER_DATA_CENTRE


def summarise_latencies(seconds: list[float]) -> dict[str, float]:
    """Return percentiles in milliseconds."""
    ordered = sorted(seconds)
    picks = {"p50": 0.50, "p99": 0.99, "max": 1.0}
    last = len(ordered) - 1
    return {
        name: round(ordered[min(last, int(len(ordered) * share))] * MILLISECONDS_PER_SECOND, 1)
        for name, share in picks.items()
    }


async def _make_members_and_listeners() -> tuple[tuple[Member, ...], list[trio.SocketListener]]:
    members, listeners = [], []
    for site in DATA_CENTRES:
        for number in range(BALANCERS_PER_DATA_CENTRE):
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            endpoint = Endpoint(*listener.socket.getsockname()[:2])
            name = InstanceId(f"{site}-{number}")
            members.append(Member(name, Incarnation(1), DataCentreId(site), endpoint, endpoint))
            listeners.append(listener)
    return tuple(members), listeners


async def _renew_leases(followers: list[BalancerFollower], members: tuple[Member, ...]) -> None:
    views = {
        site: View(site, Epoch(1), tuple(m for m in members if m.data_centre == site))
        for site in {member.data_centre for member in members}
    }
    while True:
        for follower in followers:
            follower.deliver_event(ViewChanged(views[follower.member.data_centre]))
            follower.deliver_event(LeaseChanged(Instant(follower.engine.now() + LEASE_SECONDS)))
        await trio.sleep(LEASE_SECONDS / 4)


def _message_tag(message: Any) -> int:
    tag: int = message.__struct_config__.tag
    return tag


def measure(kill: str, patches: int) -> None:
    """Run one measurement on fresh processes and print it."""
    with tempfile.TemporaryDirectory() as folder:
        processes = ControlProcesses(Path(folder))
        try:
            processes.wait_for_leader()
            bench = PatchBenchmark(processes, patches)
            figures = trio.run(bench.submit_sequentially, kill)
            label = {
                "balancers": len(DATA_CENTRES) * BALANCERS_PER_DATA_CENTRE,
                "killed": kill or "nobody",
            }
            report("configuration_force", **label, **figures)
            if not kill:
                raced = trio.run(functools.partial(bench.submit_concurrently, 4))
                report("configuration_patches", operators=4, **raced)
        finally:
            processes.stop()


def main() -> None:
    """Measure alone, and while a follower and the leader of the log die."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--patches", type=int, default=200)
    arguments = parser.parse_args()
    for kill in ("", "follower", "leader"):
        measure(kill, arguments.patches)


if __name__ == "__main__":
    main()
