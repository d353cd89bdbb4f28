"""Starts, signals and ends the processes of a run, by their process ids only."""

import contextlib
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

INTERPRETER_START_SECONDS = 1.0
"""Within this time after its start, a process may not yet ignore SIGHUP."""
ROOT = Path(__file__).parents[2]


@dataclass(slots=True)
class RoleProcess:
    """The process of one balancer or control instance.

    Parameters
    ----------
    role : str
        Name of its role, ``balancer`` or ``control``.
    settings : dict
        Content of its settings file.
    folder : Path
        Folder for its settings, log and disk.
    """

    role: str
    settings: dict[str, Any]
    folder: Path
    balancing: dict[str, Any] = field(default_factory=dict)
    """Optional features in its settings file."""
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = False
    """Whether the process is supposed to run; it is restarted after an unexpected exit."""
    started_at: float = 0.0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return str(self.settings["node_name"])

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Replace the settings file at once: a process that starts never reads half of it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / "node.json.new"
        extended = {"node": self.settings, "balancing": self.balancing}
        temporary.write_text(json.dumps(extended if self.balancing else self.settings))
        temporary.replace(self.folder / "node.json")

    def start(self) -> None:
        """Start the process and append its output to the log of earlier starts."""
        self.write_settings()
        environment = {
            **os.environ,
            "CHICORYPOST_NODE_FILE": str(self.folder / "node.json"),
            "PYTHONPATH": str(ROOT),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chicorypost.roles", self.role],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        # The log goes through a pipe, since the simulated full disk would fail writes to a file.
        threading.Thread(target=self._copy_log, args=[self.process], daemon=True).start()
        self.should_run = True
        self.started_at = time.monotonic()

    def _copy_log(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        with open(self.folder / "log", "ab", buffering=0) as log:
            for line in process.stdout:
                log.write(line)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def kill_and_wipe_disk(self) -> None:
        """Kill the process and delete its disk; the next start doesn't bootstrap a cluster."""
        self.kill()
        with contextlib.suppress(FileNotFoundError):
            shutil.rmtree(self.folder / "disk")
        self.settings["bootstrap"] = False

    def set_disk_full(self, is_full: bool) -> None:
        """Make every write of the process to a file fail, or succeed again."""
        if self.is_running:
            assert self.process is not None
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            soft = 0 if is_full else hard
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    def restart_if_exited(self) -> str:
        """Restart the process after an unexpected exit, as the platform does.

        Returns
        -------
        str
            Description of the exit; empty if the process is running, isn't supposed to run, or was
            ended by SIGHUP while the interpreter was starting.
        """
        if not self.should_run or self.is_running or self.process is None:
            return ""
        status, age = self.process.returncode, time.monotonic() - self.started_at
        self.start()
        if status == -signal.SIGHUP and age < INTERPRETER_START_SECONDS:
            return ""
        return f"{self.name} exited with status {status} after {age:.1f} s"
