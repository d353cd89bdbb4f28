"""Output of measurements as JSON lines with the commit of the measured code."""

import json
import subprocess
import sys
from typing import Any


def current_commit() -> str:
    """Return the short hash of the commit, with a suffix if tracked files are modified."""
    command = ["git", "describe", "--always", "--dirty", "--exclude", "*"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def report(benchmark: str, **figures: Any) -> None:
    """Print one measurement as a JSON line."""
    line = {"benchmark": benchmark, "commit": current_commit(), **figures}
    json.dump(line, sys.stdout)
    sys.stdout.write("\n")
    sys.stdout.flush()
