"""Runs control instances as processes that tests can kill, suspend and restart."""

import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time

import trio
import uuid6

from chicorypost.commands._client import OperatorClient
from chicorypost.transport import ExchangeRequest

TIMEOUT_SECONDS = 45.0
POLL_SECONDS = 0.05
CONTROL_PROGRAM = (
    "import sys; from pathlib import Path; "
    "from chicorypost.commands._control import ControlCommand; "
    "ControlCommand(Path(sys.argv[1]))()"
)


def find_free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_for(condition):
    """Return the first truthy result of the condition; fail after `TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"condition not met within {TIMEOUT_SECONDS} s")


class ControlProcesses:
    """Control instances that run as processes on the loopback interface."""

    def __init__(self, folder, count=3):
        self.folder = folder
        self.names = [f"control-{number}" for number in range(count)]
        ports = find_free_ports(3 * count)
        self.control_ports = dict(zip(self.names, ports[:count], strict=True))
        self.operator_ports = dict(zip(self.names, ports[count : 2 * count], strict=True))
        self.admin_ports = dict(zip(self.names, ports[2 * count :], strict=True))
        self.processes = {}
        self.file_size_limits = {}
        for name in self.names:
            self.write_settings(name)
            self.start(name)

    def write_settings(self, name):
        format_address = "127.0.0.1:{}".format
        controls = [
            {
                "id": other,
                "data_centre": "gent",
                "control": format_address(self.control_ports[other]),
            }
            for other in self.names
        ]
        settings = {
            "id": name,
            "data_centre": "gent",
            "controls": controls,
            "tls": {"off": True},
            "listen": {
                "control": format_address(self.control_ports[name]),
                "operators": format_address(self.operator_ports[name]),
                "admin": format_address(self.admin_ports[name]),
            },
            "data_folder": str(self.folder / name),
            "log": {"level": "warning"},
            "answer_seconds": 2,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def start(self, name):
        command = [sys.executable, "-c", CONTROL_PROGRAM, str(self.folder / f"{name}.json")]
        self.processes[name] = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        self._limit_file_size(name)

    def fill_disk(self, name, spare_bytes):
        """Make writes of an instance fail, also after restarts; its log may grow a little first."""
        log_files = [path for path in (self.folder / name).rglob("*") if path.is_file()]
        largest = max(path.stat().st_size for path in log_files)
        self.file_size_limits[name] = largest + spare_bytes if spare_bytes else 0
        self._limit_file_size(name)

    def make_room(self, name):
        """Let writes of an instance succeed again."""
        self.file_size_limits.pop(name, None)
        self._limit_file_size(name)

    def _limit_file_size(self, name):
        _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
        soft = self.file_size_limits.get(name, hard)
        if self.processes[name].poll() is None:
            resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (soft, hard))

    def restart_exited(self):
        """Start instances that have ended by themselves again, as a supervisor does."""
        for name, process in list(self.processes.items()):
            if process.poll() is not None:
                self.start(name)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def erase_data_folder(self, name):
        shutil.rmtree(self.folder / name)

    def stop(self):
        for name in list(self.processes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)

    def send_request(self, method, target, body=None, headers=(), names=None, seconds=20.0):
        """Return the first response of one of the instances, or None after the timeout."""
        servers = [f"http://127.0.0.1:{self.operator_ports[n]}" for n in names or self.names]
        client = OperatorClient(",".join(servers), total_seconds=seconds)
        data = b"" if body is None else json.dumps(body).encode()
        return _run(client, ExchangeRequest(method, target, tuple(headers), data))

    def send_patch(self, expected_version, body, patch_id=None, names=None, seconds=20.0):
        headers = (
            ("content-type", "application/merge-patch+json"),
            ("if-match", f'"{expected_version}"'),
            ("patch-id", patch_id or str(uuid6.uuid7())),
            ("from", "ann"),
        )
        return self.send_request("PATCH", "/v1/config", body, headers, names, seconds)

    def wait_for_leader(self):
        """Wait for a leader that has contact with a quorum and return its name."""
        return wait_for(self._find_leader)

    def _find_leader(self):
        for name in self.processes:
            response = self.send_request("GET", "/v1/status", names=[name], seconds=1.0)
            if response is None:
                continue
            status = json.loads(response.body)
            if status["role"] == "leader" and status["out_of_touch"] is None:
                return name
        return None

    def get_status(self, name):
        return json.loads(self.send_request("GET", "/v1/status", names=[name]).body)


def _run(client, request):
    return trio.run(client.send_request, request)
