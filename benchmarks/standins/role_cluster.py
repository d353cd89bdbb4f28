"""Stand-in deployment of the roles: processes, one sound upstream, a rogue control instance."""

import contextlib
import http.client
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.soak.processes import RoleProcess
from chicorypost.roles._admin import ADMIN_PORT

CONTROL_PORT = 8166
PEER_PORT = 7720
PACKET_PORT = 8172
READY_PORT = 8167
START_SECONDS = 45.0
HEARTBEAT_SECONDS = 0.5
SOUND = "i-5a"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path_prefix": "/443/",
            "route_type": "safe",
            "timeout_ms": 1000,
            "service": "orders",
        }
    ],
    "services": [{"name": "orders", "health_path": "/health", "protocol": "h1"}],
    "limits": {"idle_timeout_ms": 15000},
}


def wait_until(condition: Callable[[], bool], seconds: float = START_SECONDS) -> None:
    """Wait until a condition holds; raise AssertionError if it doesn't in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def call(
    host: str, method: str, path: str, body: bytes = b"", port: int = CONTROL_PORT
) -> tuple[int, bytes]:
    """Make one HTTP call; return the status and the body, or 0 without a response."""
    connection = http.client.HTTPConnection(host, port, timeout=5.0)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def _find_free_network() -> int:
    """Return the second octet of loopback addresses that no other deployment uses."""
    for number in random.sample(range(10, 250), 100):
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind, port in ((1, CONTROL_PORT), (3, READY_PORT), (6, PEER_PORT)):
                stack.enter_context(socket.create_server((f"127.{number}.{kind}.1", port)))
            return number
    raise RuntimeError("no free loopback addresses")


class RoleCluster:
    """The processes, an upstream that announces itself regularly, and the rogue instance.

    The rogue control instance is among the seeds of the balancer. It sends `rogue_frames` on each
    connection that the balancer opens to it.
    """

    def __init__(self, folder: Path) -> None:
        self.number = _find_free_network()
        self.seeds = [f"{self.host(1, n)}:{CONTROL_PORT}" for n in range(3)]
        self.controls = [self._make_process(folder, "control", n) for n in range(3)]
        self.balancer = self._make_process(folder, "balancer", 0)
        self.processes = [*self.controls, self.balancer]
        self.sequence = 0
        self.stopping = threading.Event()
        self.rogue_frames: list[bytes] = []
        self.rogue = socket.create_server((self.host(6, 0), PEER_PORT))
        self.rogue.settimeout(0.2)
        self.threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self._announce_regularly, self._serve_rogue)
        ]

    def host(self, kind: int, number: int) -> str:
        """Return the address of an instance, an upstream or the rogue instance."""
        return f"127.{self.number}.{kind}.{number + 1}"

    def _make_process(self, folder: Path, role: str, number: int) -> RoleProcess:
        host = self.host(1 if role == "control" else 3, number)
        name = f"{role}-{number}"
        settings: dict[str, Any] = {
            "node_name": name,
            "ip": host,
            "zone": "a",
            "internal_ports": [PEER_PORT, PEER_PORT + 10],
            "seeds": self.seeds,
            "bootstrap": True,
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "data_dir": None,
        }
        if role == "control":
            settings["listen"] = {"control": f"{host}:{CONTROL_PORT}"}
            settings["data_dir"] = str(folder / name / "disk")
        else:
            settings["listen"] = {
                "datagram_addr": f"{host}:{PACKET_PORT}",
                "readiness_addr": f"{host}:{READY_PORT}",
            }
            settings["seeds"] = [*self.seeds, f"{self.host(6, 0)}:{CONTROL_PORT}"]
        return RoleProcess(role, settings, folder / name)

    def start(self) -> None:
        """Start all processes and wait until the sound upstream is in use."""
        for process in self.processes:
            process.start()
        body = json.dumps(CONFIGURATION).encode()
        wait_until(lambda: self.call_any("POST", "/-/Config.Put", body)[0] == 200)
        for thread in self.threads:
            thread.start()
        wait_until(self.is_sound)

    def stop(self) -> None:
        """Kill all processes and end the threads."""
        self.stopping.set()
        for process in self.processes:
            process.kill()
        for thread in self.threads:
            thread.join()
        self.rogue.close()

    def call_any(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Call every control instance; return an answer with status 200 if there is one."""
        answers = [call(self.host(1, n), method, path, body) for n in range(3)]
        return max(answers, key=lambda answer: answer[0] == 200)

    def announcement(self, **changes: Any) -> dict[str, Any]:
        """Return the body of the next announcement of the sound upstream, with other values."""
        self.sequence += 1
        return {
            "service": "orders",
            "address": f"{self.host(4, 0)}:8080",
            "zone": "a",
            "version": "v1",
            "max_concurrency": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.sequence,
            "born": 1_700_000_000_000,
        } | changes

    def _announce_regularly(self) -> None:
        path = f"/-/Backends.Heartbeat/{SOUND}"
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            self.call_any("POST", path, json.dumps(self.announcement()).encode())

    def _serve_rogue(self) -> None:
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                connection, _ = self.rogue.accept()
                with connection:
                    for frame in self.rogue_frames:
                        connection.sendall(frame)
                    self.stopping.wait(0.3)

    def dump(self, process: RoleProcess) -> dict[str, Any]:
        """Return the state of a process; empty without a response."""
        status, body = call(process.settings["ip"], "GET", "/dump", port=ADMIN_PORT)
        return json.loads(body) if status == 200 else {}

    def is_sound(self) -> bool:
        """Return whether every process lists the sound upstream and nothing else, in version 7."""
        for process in self.controls:
            state = self.dump(process)
            upstreams = state.get("announcements", {}).get("upstreams", {})
            if state.get("version") != 7 or list(upstreams) != [SOUND]:
                return False
            if upstreams[SOUND][:2] != ["ready", "heard"]:
                return False
        state = self.dump(self.balancer)
        upstreams = state.get("view", {}).get("upstreams", {})
        return state.get("ready") is True and upstreams == {SOUND: ["ready", "heard"]}

    def list_errors(self) -> list[str]:
        """Return the log lines that name an unexpected error or a failed replica."""
        names = ('"unexpected-error"', '"replica-failed"', "Traceback")
        return [
            line
            for process in self.processes
            for line in self.read_log(process).splitlines()
            if any(name in line for name in names)
        ]

    def read_log(self, process: RoleProcess) -> str:
        """Return what a process has written so far."""
        return (process.folder / "log").read_text(errors="replace")
