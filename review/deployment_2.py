"""Small deployment of the roles on loopback, for the scripts of the second review."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT, PACKET_PORT, READY_PORT = 8166, 8172, 8167
INTERNAL_PORTS = [7720, 7735]
HEARTBEAT_MS = 770
CALL_SECONDS = 1.0
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_max_s": 60,
}
CONTROL_LIMITS = {"cpu_share": 0.645, "cpu_cores": 2, "memory_mb": 296, "max_fds": 4096}
BALANCER_LIMITS = {"cpu_share": 0.731, "cpu_cores": 1, "memory_mb": 222, "max_fds": 1535}


class CannotRunError(Exception):
    """The case can't be played on this machine."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()


class Deployment:
    """Control instances and balancers as the platform starts them, each on its own address."""

    def __init__(
        self,
        record: Record,
        balancers: int,
        bounds: dict[str, Any] | None = None,
        controls: int = 3,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.network = _find_free_network()
        self.bounds = BOUNDS | (bounds or {})
        self.controls = [self.host(1, number) for number in range(controls)]
        self.balancers = [self.host(3, number) for number in range(balancers)]
        self.seeds = [f"{host}:{CONTROL_PORT}" for host in self.controls[:3]]
        self.zones: dict[str, str] = {}
        """Zone of each machine; `zone-a` unless it is named here."""
        self.spares: list[str] = []
        """Balancers that aren't started at first."""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Ends the case through its `finally` clauses when its time is over.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def host(self, kind: int, number: int) -> str:
        """Return the loopback address of a machine, a server or a client."""
        return f"127.{self.network}.{kind}.{number + 1}"

    def start(self, host: str) -> None:
        """Start the role of a machine."""
        is_control = host in self.controls
        role = "control" if is_control else "balancer"
        folder = self.folder / host
        data = folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        settings = {
            "node_name": f"{role}-{host}",
            "role": role,
            "machine_class": "core" if is_control else "edge",
            "serves": ["control" if is_control else "edge"],
            "ip": host,
            "zone": self.zones.get(host, "zone-a"),
            "region": "region-1",
            "zones": {"zone-a": "region-1", "zone-b": "region-1"},
            "listen": (
                {"control": f"{host}:{CONTROL_PORT}"}
                if is_control
                else {
                    "datagram_addr": f"{host}:{PACKET_PORT}",
                    "readiness_addr": f"{host}:{READY_PORT}",
                }
            ),
            "internal_ports": INTERNAL_PORTS,
            "seeds": self.seeds,
            "bootstrap": host not in self.spares and host not in self.processes,
            "counts_as_loss": is_control,
            "limits": CONTROL_LIMITS if is_control else BALANCER_LIMITS,
            "data_dir": str(data) if is_control else None,
            "discovery": "registry",
            "entry_kind": "announce",
            "heartbeat_interval_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "config_mode": "highest",
            "hash": "steady",
            "deploy_mode": "echo",
        }
        file = folder / "local.json"
        file.write_text(json.dumps(settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = f"{ROOT / 'target/deps'}:{ROOT}"
        environment["CHICORYPOST_NODE_FILE"] = str(file)
        with (folder / "log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-S", "-m", "chicorypost.roles", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"{role} at {host} is started")

    def stop(self) -> None:
        """End all processes that were started, and remove their files."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(10)
        subprocess.run(["rm", "-r", str(self.folder)], check=False)

    def wait_ready(self, host: str, seconds: float = 30.0) -> None:
        """Wait until a balancer answers the readiness probe with 200."""
        deadline = time.monotonic() + seconds
        while call(host, "GET", "/-/ready", port=READY_PORT)[0] != 200:
            if time.monotonic() > deadline:
                raise CannotRunError(f"balancer at {host} isn't ready")
            time.sleep(0.05)


def call(
    host: str,
    method: str,
    path: str,
    body: bytes = b"",
    port: int = CONTROL_PORT,
    seconds: float = CALL_SECONDS,
) -> tuple[int, bytes]:
    """Make one call and follow two redirects; return status 0 if no response comes in time."""
    for _ in range(3):
        connection = http.client.HTTPConnection(host, port, timeout=seconds)
        try:
            connection.request(method, path, body or None, {"Content-Type": "application/json"})
            response = connection.getresponse()
            status, answer = response.status, response.read()
            location = response.getheader("location")
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()
        if status != 307 or location is None:
            return status, answer
        target = urlsplit(location)
        host, port, path = target.hostname or host, target.port or port, target.path
    return 0, b""


class Operator:
    """Sends orders as the pages say: to the next node, with increasing backoff, until one ends it.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.next_node = 0

    def order(
        self, path: str, body: bytes, what: str, seconds: float, call_seconds: float = CALL_SECONDS
    ) -> int:
        """Send an order until it is answered clearly; return the last status."""
        deadline = time.monotonic() + seconds
        backoff, status, refusals = 0.1, 0, 0
        while time.monotonic() < deadline:
            host = self._pick_node()
            status, _ = call(host, "POST", path, body, seconds=call_seconds)
            self.record.write(f"{what} to {host}: {status or 'no response'}")
            refusals += 400 <= status < 500 and status not in (408, 429)
            if status in (200, 400, 409, 412, 413, 422) or refusals == 3:
                return status
            time.sleep(backoff)
            backoff = min(2 * backoff, 1.0)
        return status

    def read(self) -> tuple[int, bytes]:
        """Read the configuration at the next node."""
        host = self._pick_node()
        status, body = call(host, "GET", "/-/Config.Get")
        self.record.write(f"read at {host}: {status or 'no response'}")
        return status, body

    def _pick_node(self) -> str:
        nodes = self.deployment.controls
        self.next_node += 1
        return nodes[self.next_node % len(nodes)]


def make_configuration(
    version: int, routes: int, service: str, **service_fields: Any
) -> dict[str, Any]:
    """Return a configuration with one route that clients use and idle ones."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:07x}",
                "host": f"198.18.{number // 250}.{number % 250 + 1}",
                "path_prefix": "/8443/",
                "route_type": "safe",
                "timeout_ms": 2508,
                "target_latency_ms": 250,
                "priority": 2,
                "split": [{"service": service, "weight": 90}, {"service": service, "weight": 10}],
                "max_attempts": 2,
            }
            for number in range(routes)
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 4667,
                "protocol": "h1",
                "tls": False,
            }
            | service_fields
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _find_free_network() -> int:
    """Return the second octet of loopback addresses that no other deployment uses."""
    for number in random.sample(range(10, 250), 100):
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind, port in ((1, CONTROL_PORT), (3, READY_PORT), (1, INTERNAL_PORTS[0])):
                stack.enter_context(socket.create_server((f"127.{number}.{kind}.1", port)))
            return number
    raise CannotRunError("no free loopback addresses")
