"""The processes of a run: started, signalled and ended by their ids, and nothing else."""

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
from dataclasses import dataclass
from pathlib import Path
from typing import Any

INTERPRETER_START_SECONDS = 1.0
"""Within this time of its start a process may not have reached the line that ignores SIGHUP."""
ROOT = Path(__file__).parents[2]


@dataclass(slots=True)
class RoleProcess:
    """One balancer or control instance.

    Parameters
    ----------
    role : str
        Which role it runs.
    settings : dict
        Its settings file.
    folder : Path
        Where its settings, log and disk are.
    """

    role: str
    settings: dict[str, Any]
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = False
    """Whether it should run now; one that has ended by itself is started again."""
    started_at: float = 0.0

    @property
    def name(self) -> str:
        """Name of the machine."""
        return str(self.settings["node_name"])

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Write the settings file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "node.json").write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process, with its log appended to that of earlier runs."""
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
        # The log goes through a pipe: a full disk of the process must not stop it.
        threading.Thread(target=self._copy_log, args=[self.process], daemon=True).start()
        self.should_run = True
        self.started_at = time.monotonic()

    def _copy_log(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        with open(self.folder / "log", "ab") as log:
            for line in process.stdout:
                log.write(line)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it lives."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def kill_and_wipe_disk(self) -> None:
        """Kill the process and empty its disk; it isn't the first start any more."""
        self.kill()
        with contextlib.suppress(FileNotFoundError):
            shutil.rmtree(self.folder / "disk")
        self.settings["bootstrap"] = False

    def set_disk_full(self, full: bool) -> None:
        """Let every write of the process fail, or none."""
        if self.is_running:
            assert self.process is not None
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            soft = 0 if full else hard
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    def restart_if_exited(self) -> str:
        """Start a process again that has ended by itself, as the platform does.

        Returns
        -------
        str
            How it ended; empty if it runs, or if SIGHUP met the interpreter before its first line.
        """
        if not self.should_run or self.is_running or self.process is None:
            return ""
        status, age = self.process.returncode, time.monotonic() - self.started_at
        self.start()
        if status == -signal.SIGHUP and age < INTERPRETER_START_SECONDS:
            return ""
        return f"{self.name} ended with {status} after {age:.1f} s"
