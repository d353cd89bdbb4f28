"""Runs control instances as processes that tests can kill, suspend and restart."""

import json
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import deque
from pathlib import Path

import trio
import uuid6

from chicorypost.commands._client import OperatorClient
from chicorypost.transport import ExchangeRequest

TIMEOUT_SECONDS = 45.0
POLL_SECONDS = 0.05
MAX_ERROR_LINES = 100
NANOSECONDS = 1_000_000_000


def reserve_ports(count):
    """Return sockets that are bound to free ports and keep them from being given to others.

    Linux gives a port to which a socket is bound neither to a bind to port 0 nor to an outgoing
    connection. A listener that sets ``SO_REUSEADDR``, as those of the daemons do, can still be
    bound to it, because these sockets set it too and don't listen.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
    return sockets


def get_ports(sockets):
    return [sock.getsockname()[1] for sock in sockets]


def find_free_ports(count):
    sockets = reserve_ports(count)
    ports = get_ports(sockets)
    for sock in sockets:
        sock.close()
    return ports


def wait_for(condition, describe_failure=None):
    """Return the first truthy result of the condition; fail after `TIMEOUT_SECONDS`.

    The text that `describe_failure` returns is appended to the error message.
    """
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    details = f":\n{describe_failure()}" if describe_failure is not None else ""
    raise AssertionError(f"condition not met within {TIMEOUT_SECONDS} s{details}")


class ControlProcesses:
    """Control instances that run as processes on the loopback interface."""

    def __init__(self, folder, count=3):
        self.folder = folder
        self.names = [f"control-{number}" for number in range(count)]
        self.reservations = reserve_ports(3 * count)
        ports = get_ports(self.reservations)
        self.control_ports = dict(zip(self.names, ports[:count], strict=True))
        self.operator_ports = dict(zip(self.names, ports[count : 2 * count], strict=True))
        self.admin_ports = dict(zip(self.names, ports[2 * count :], strict=True))
        self.processes = {}
        self.file_size_limits = {}
        self.error_lines: dict[str, deque[str]] = {
            name: deque(maxlen=MAX_ERROR_LINES) for name in self.names
        }
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
        settings = str(self.folder / f"{name}.json")
        command = [sys.executable, "-m", "chicorypost", "control", settings]
        # A pipe, since the file size limit of `fill_disk` would also apply to a file.
        process = subprocess.Popen(command, stderr=subprocess.PIPE)
        self.processes[name] = process
        arguments = (process.stderr, self.error_lines[name])
        threading.Thread(target=_collect_lines, args=arguments, daemon=True).start()
        self._limit_file_size(name)

    def describe(self):
        """Return whether each process runs, its status and the end of its error output.

        The seconds for which a process ran and waited for a core tell a slow start from a fault.
        """
        return "\n".join(self._describe_process(name) for name in self.names)

    def _describe_process(self, name):
        process = self.processes.get(name)
        if process is None:
            state = "not started"
        elif process.poll() is None:
            state = f"runs as {process.pid} ({_describe_scheduling(process.pid)})"
        else:
            state = f"ended with exit code {process.returncode}"
        response = self.send_request("GET", "/v1/status", names=[name], seconds=2.0)
        status = "no answer" if response is None else f"{response.status} {response.body.decode()}"
        ports = [self.control_ports[name], self.operator_ports[name], self.admin_ports[name]]
        errors = "".join(self.error_lines[name])
        return f"{name} {state}, ports {ports}\nstatus: {status}\nerror output:\n{errors}"

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
        self.processes[name].send_signal(number)

    def erase_data_folder(self, name):
        shutil.rmtree(self.folder / name)

    def stop(self):
        for name in list(self.processes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)
        for sock in self.reservations:
            sock.close()

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
        return wait_for(self._find_leader, self.describe)

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


def _describe_scheduling(pid):
    try:
        numbers = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return "scheduling unknown"
    run_seconds, wait_seconds = (int(number) / NANOSECONDS for number in numbers[:2])
    return f"ran {run_seconds:.1f} s, waited {wait_seconds:.1f} s for a core"


def _collect_lines(stream, lines):
    with stream:
        for line in stream:
            lines.append(line.decode(errors="replace"))


def _run(client, request):
    return trio.run(client.send_request, request)
