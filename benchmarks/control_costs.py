"""Processor time of one control instance, by connected balancers and by calls of upstreams.

``python -m benchmarks.control_costs [--balancers N ...] [--upstreams N] [--changing N]``

The control instance is a real process. Its balancers are connections of the measuring process, each
with the state machine that merges the feeds, so that both ends of a connection are measured.
"""

import argparse
import itertools
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil
import trio

from benchmarks.reporting import report
from benchmarks.soak.processes import RoleProcess
from chicorypost.announcements import (
    VIEW_MESSAGES,
    AnnouncementSettings,
    DirectoryView,
    PeerConnected,
    PeerDisconnected,
)
from chicorypost.base import DataCentreId, Effect, Endpoint, Incarnation, InstanceId
from chicorypost.daemons import Engine, Registration
from chicorypost.platform import InvalidNodeSettings, NodeSettings, read_node_settings
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._process import make_peer_network
from chicorypost.transport import (
    NOT_LISTENING_PORT,
    ConnectionHello,
    ExchangeFailed,
    ExchangeRequest,
    HttpConnection,
    open_http,
)

HOST = "127.91.0.1"
CALL_ENDPOINT = Endpoint(HOST, 8166)
ANNOUNCEMENT_SECONDS = 0.77
SETTLE_SECONDS = 4.0
"""Time in which all connections are opened and the control instance knows its table to be complete.
"""


class SimulatedBalancer:
    """The part of a balancer that talks to control instances.

    Parameters
    ----------
    settings : NodeSettings
        Settings with the control instance as the only seed.
    number : int
        Distinguishes the balancers.
    """

    def __init__(self, settings: NodeSettings, number: int) -> None:
        event_log = EventLog()
        self.engine = Engine(self._send, event_log.emit, self._execute)
        announcements = AnnouncementSettings(interval_seconds=ANNOUNCEMENT_SECONDS)
        self.view = DirectoryView(announcements, settings.seeds, self.engine.now())
        events = (PeerConnected, PeerDisconnected)
        self.engine.register(Registration("view", self.view, VIEW_MESSAGES, events))
        hello = ConnectionHello(
            InstanceId(f"balancer-{number}"),
            Incarnation(time.time_ns() // 1_000_000),
            DataCentreId("a"),
            Endpoint(HOST, NOT_LISTENING_PORT),
        )
        self.network = make_peer_network(settings, hello, self.engine, event_log)
        self.control = settings.seeds[0]

    def _send(self, to: InstanceId, message: Any) -> None:
        self.network.send(to, message)

    def _execute(self, effect: Effect) -> None:
        """Ignore the effects on the packet path."""

    async def run(self) -> None:
        """Stay connected until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run, None)
            self.network.maintain_connection(self.control)
            self.engine.refresh_deadlines()
            await self.engine.run_timer()


async def announce_periodically(number: int, upstreams: int, is_changing: bool) -> None:
    """Call the control instance as one upstream, on a connection that stays open.

    If `is_changing`, the upstream is ready and draining by turns, so that each call is a change
    that all balancers get.
    """
    await trio.sleep(ANNOUNCEMENT_SECONDS * number / upstreams)
    connection: HttpConnection | ExchangeFailed = await open_http(CALL_ENDPOINT, 4096)
    for sequence in itertools.count(1):
        body = {
            "service": "orders",
            "address": f"10.0.{number // 250}.{number % 250 + 1}:8080",
            "zone": "a",
            "version": "v1",
            "max_concurrency": 2,
            "state": "draining" if is_changing and sequence % 2 else "ready",
            "warmup_left_ms": 0,
            "seq": sequence,
            "born": 1,
        }
        path = f"/-/Backends.Heartbeat/i-{number + 0x1000:x}"
        assert isinstance(connection, HttpConnection)
        await connection.exchange(ExchangeRequest("POST", path, (), json.dumps(body).encode()))
        await trio.sleep(ANNOUNCEMENT_SECONDS)


def _make_settings(folder: Path) -> tuple[RoleProcess, NodeSettings]:
    fields: dict[str, Any] = {
        "node_name": "control-0",
        "ip": HOST,
        "zone": "a",
        "internal_ports": [7720, 7730],
        "seeds": [f"{HOST}:{CALL_ENDPOINT.port}"],
        "bootstrap": True,
        "heartbeat_interval_ms": 1000 * ANNOUNCEMENT_SECONDS,
        "fault_tolerance": {"machines": 0},
        "listen": {"control": f"{HOST}:{CALL_ENDPOINT.port}"},
        "data_dir": str(folder / "disk"),
    }
    settings = read_node_settings(json.dumps(fields).encode())
    assert not isinstance(settings, InvalidNodeSettings)
    return RoleProcess("control", fields, folder), settings


async def measure(
    balancers: int, upstreams: int, is_changing: bool, seconds: float, folder: Path
) -> None:
    """Measure one control instance with a number of balancers and upstreams."""
    control, settings = _make_settings(folder)
    control.start()
    try:
        await trio.sleep(SETTLE_SECONDS / 2)
        async with trio.open_nursery() as nursery:
            for number in range(balancers):
                nursery.start_soon(SimulatedBalancer(settings, number).run)
            for number in range(upstreams):
                nursery.start_soon(announce_periodically, number, upstreams, is_changing)
            await trio.sleep(SETTLE_SECONDS)
            assert control.process is not None
            process = psutil.Process(control.process.pid)
            before, own_before = sum(process.cpu_times()[:2]), time.process_time()
            started_at = trio.current_time()
            await trio.sleep(seconds)
            elapsed = trio.current_time() - started_at
            used = (sum(process.cpu_times()[:2]) - before) / elapsed
            own = (time.process_time() - own_before) / elapsed
            memory = process.memory_info().rss / 1e6
            nursery.cancel_scope.cancel()
    finally:
        control.kill()
    report(
        "control_costs",
        balancers=balancers,
        upstreams=upstreams,
        changes_per_second=round(upstreams / ANNOUNCEMENT_SECONDS) if is_changing else 0,
        control_cores=round(used, 4),
        control_megabytes=round(memory, 1),
        balancer_cores=round(own / balancers, 6) if balancers and not upstreams else None,
    )


def main() -> None:
    """Measure balancers without upstreams, upstreams without balancers, then both with changes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--balancers", type=int, nargs="+", default=[50, 200])
    parser.add_argument("--upstreams", type=int, default=150)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--changing", type=int, default=30)
    options = parser.parse_args()
    cases = [(balancers, 0, False) for balancers in options.balancers]
    cases += [(0, options.upstreams, False)]
    cases += [(balancers, options.changing, True) for balancers in options.balancers]
    for case in cases:
        with tempfile.TemporaryDirectory() as folder:
            trio.run(measure, *case, options.seconds, Path(folder))


if __name__ == "__main__":
    main()
