"""Run every benchmark.

``python -m benchmarks [--full] [--output FILE] [--report FILE] [--against FILE]`` prints the JSON
lines of all benchmarks. It optionally saves them to a file and writes an HTML page that compares
them with an earlier file.
"""

import argparse
import html
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

TIMEOUT_SECONDS = 1200
SMALL_COMMANDS: tuple[tuple[str, ...], ...] = (
    ("forwarding", "--flows", "20000", "--packets", "40000", "--rounds", "1"),
    ("cookie_forwarding", "--flows", "20000", "--packets", "20000", "--rounds", "1"),
    ("load_model", "--seeds", "1"),
    ("link_model",),
    ("requests_path", "--requests", "300"),
    ("requests_outcomes",),
    ("flows_broken", "--small"),
    ("flows_capacity", "--small"),
    ("dispatch_overload", "--seconds", "5"),
    ("membership_slopes", "--instances", "7", "20", "--seconds", "5"),
    ("configuration_bytes",),
    ("configuration_force", "--patches", "50"),
    ("consensus_log",),
)
FULL_COMMANDS: tuple[tuple[str, ...], ...] = (
    ("forwarding",),
    ("cookie_forwarding",),
    ("load_model", "--seeds", "5"),
    ("link_model",),
    ("requests_path", "--requests", "3000"),
    ("requests_outcomes",),
    ("flows_broken",),
    ("flows_capacity",),
    ("dispatch_overload",),
    ("membership_drain",),
    ("membership_slopes", "--instances", "7", "20", "50", "100"),
    ("configuration_bytes",),
    ("configuration_slopes",),
    ("configuration_force",),
    ("consensus_log",),
)


def run_benchmark(command: tuple[str, ...]) -> list[dict[str, Any]]:
    """Run one benchmark module and return its JSON lines, with a line for a failure."""
    module, *options = command
    try:
        result = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{module}", *options],
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return [{"benchmark": module, "failed": f"not finished within {TIMEOUT_SECONDS} s"}]
    lines = [json.loads(line) for line in result.stdout.splitlines() if line.startswith("{")]
    if result.returncode != 0:
        lines.append({"benchmark": module, "failed": result.stderr[-500:]})
    return lines


def read_lines(file: Path) -> list[dict[str, Any]]:
    """Return the JSON lines of an earlier run."""
    return [json.loads(line) for line in file.read_text(encoding="utf-8").splitlines()]


def is_number(value: Any) -> bool:
    """Return whether a value is a number, so that its change can be shown."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def render_report(lines: list[dict[str, Any]], earlier: list[dict[str, Any]]) -> str:
    """Return an HTML page that compares each figure with that of the earlier run."""
    rows = []
    for index, line in enumerate(lines):
        earlier_lines = [old for old in earlier if old.get("benchmark") == line.get("benchmark")]
        position = sum(1 for other in lines[:index] if other["benchmark"] == line["benchmark"])
        earlier_line = earlier_lines[position] if position < len(earlier_lines) else {}
        for name, value in line.items():
            if name not in ("benchmark", "commit"):
                old = earlier_line.get(name, "")
                change = (
                    f"{value / old - 1:+.1%}" if is_number(value) and is_number(old) and old else ""
                )
                cells = (line["benchmark"], position + 1, name, value, old, change)
                rows.append("".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells))
    head = "<tr><th>benchmark<th>line<th>figure<th>now<th>before<th>change</tr>"
    body = "".join(f"<tr>{row}</tr>" for row in rows)
    style = "<style>td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}</style>"
    return f"<!doctype html><title>benchmarks</title>{style}<table>{head}{body}</table>"


def main() -> int:
    """Run the benchmarks and return 1 if any failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--full", action="store_true", help="use the full sizes, which takes an hour"
    )
    parser.add_argument("--output", type=Path, help="save the JSON lines to this file")
    parser.add_argument(
        "--against", type=Path, help="compare with the JSON lines of an earlier run"
    )
    parser.add_argument("--report", type=Path, help="write an HTML page to this file")
    options = parser.parse_args()
    lines: list[dict[str, Any]] = []
    for command in FULL_COMMANDS if options.full else SMALL_COMMANDS:
        for line in run_benchmark(command):
            print(json.dumps(line), flush=True)
            lines.append(line)
    if options.output:
        text = "".join(json.dumps(line) + "\n" for line in lines)
        options.output.write_text(text, encoding="utf-8")
    if options.report:
        earlier = read_lines(options.against) if options.against else []
        options.report.write_text(render_report(lines, earlier), encoding="utf-8")
    return 1 if any("failed" in line and line["failed"] for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main())
