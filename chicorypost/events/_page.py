"""Generator of docs/EVENTS.md from the event catalogue."""

import importlib
from pathlib import Path

from chicorypost.events._catalogue import EventSpec, event_catalogue

HEADING = """# Log events

Every line that a process logs is one JSON object with `time`, `level`, `event` (the name),
`number`, `instance` and the fields below. Each event is counted in the metric
`chicorypost_events_total` with the labels `number` and `name`.

This page is made by `python -m chicorypost.events`; do not edit it by hand.
"""


def import_all_events() -> None:
    """Import all modules that define events."""
    package = Path(__file__).parents[1]
    importlib.import_module("chicorypost.events._limit")
    for file in sorted(package.glob("*/_events.py")):
        importlib.import_module(f"chicorypost.{file.parent.name}._events")


def render_page() -> str:
    """Return the text of docs/EVENTS.md."""
    import_all_events()
    rows = ["| number | event | level | meaning | fields |", "|---|---|---|---|---|"]
    rows += [_row(spec) for spec in event_catalogue()]
    return HEADING + "\n" + "\n".join(rows) + "\n"


def _row(spec: EventSpec) -> str:
    fields = ", ".join(f"`{field}`" for field in spec.fields)
    return f"| {spec.number} | `{spec.name}` | {spec.level.value} | {spec.meaning} | {fields} |"
