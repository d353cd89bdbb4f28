"""A real balancer process is stopped by one and by two signals."""

import json
import signal
import subprocess
import sys

import pytest

EXIT_TIMEOUT_SECONDS = 60
LISTENER_NAMES = ("control", "packets", "requests", "announcements", "admin")


def start_balancer(folder, notice_seconds):
    settings = {
        "id": "balancer-1",
        "data_centre": "gent-1",
        "listen": dict.fromkeys(LISTENER_NAMES, "127.0.0.1:0"),
        "tls": {"off": True},
        "stop_notice_seconds": notice_seconds,
    }
    file = folder / "balancer-1.json"
    file.write_text(json.dumps(settings))
    return subprocess.Popen(
        [sys.executable, "-m", "chicorypost", "balancer", str(file)],
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_for_event(process, event):
    """Return the first log line with an event."""
    for line in process.stderr:
        found = json.loads(line)
        if found["event"] == event:
            return found
    raise AssertionError(f"the process ended without {event}")


@pytest.mark.parametrize(
    ("notice_seconds", "signals", "graceful"), [(0.0, 1, True), (50.0, 2, False)]
)
def test_one_signal_stops_gracefully_and_a_second_at_once(
    tmp_path, notice_seconds, signals, graceful
):
    process = start_balancer(tmp_path, notice_seconds)
    try:
        wait_for_event(process, "started")
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "stopping")
        for _ in range(signals - 1):
            process.send_signal(signal.SIGTERM)
        stopped = wait_for_event(process, "stopped")
        assert stopped["graceful"] is graceful
        assert stopped["cut_requests"] == 0
        assert process.wait(EXIT_TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
