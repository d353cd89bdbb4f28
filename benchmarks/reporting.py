"""One JSON line for each measurement, with the commit that it was made at."""

import json
import subprocess
import sys
from typing import Any


def current_commit() -> str:
    """Return the short name of the commit, with a mark when files were changed since."""
    command = ["git", "describe", "--always", "--dirty", "--exclude", "*"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def report(benchmark: str, **figures: Any) -> None:
    """Print one measurement as a JSON line."""
    line = {"benchmark": benchmark, "commit": current_commit(), **figures}
    json.dump(line, sys.stdout)
    sys.stdout.write("\n")
    sys.stdout.flush()
