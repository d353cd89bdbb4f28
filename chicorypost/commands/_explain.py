"""``chicorypost explain``: log lines that explain one request, flow or upstream."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from chicorypost.commands._exit import ExitCode

COMMON_FIELDS = ("time", "level", "event", "instance", "number")
UPSTREAM_STATUS_EVENTS = frozenset(
    ("upstream-seen", "upstream-suspected", "upstream-trusted", "upstream-call-refused")
)
"""Events by which a process logs the status of an upstream, as it sees it."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed log line: time, instance, event and the fields of the event."""

    time: str
    instance: str
    event: str
    fields: dict[str, Any] = field(hash=False)

    def has_field_value(self, name: str) -> bool:
        """Return whether the text of a field equals a name."""
        return any(str(value) == name for value in self.fields.values())


@dataclass(slots=True)
class LogContent:
    """Parsed log lines in order of time, and the number of lines that could not be parsed."""

    lines: list[LogLine]
    unreadable_count: int = 0


def read_logs(texts: Iterable[str]) -> LogContent:
    """Parse the log lines of any number of processes.

    Parameters
    ----------
    texts : iterable of str
        Lines of the logs; text before the first brace of a line is skipped.

    Returns
    -------
    LogContent
        The parsed lines in order of time.
    """
    content = LogContent([])
    for text in texts:
        line = _read_line(text)
        if line is not None:
            content.lines.append(line)
        elif text.strip():
            content.unreadable_count += 1
    content.lines.sort(key=lambda line: line.time)
    return content


def _read_line(text: str) -> LogLine | None:
    try:
        value = json.loads(text[text.index("{") :])
        fields = {key: item for key, item in value.items() if key not in COMMON_FIELDS}
        return LogLine(value["time"], value["instance"], value["event"], fields)
    except (ValueError, KeyError, AttributeError, RecursionError):
        return None


def select_related_lines(content: LogContent, name: str) -> list[LogLine]:
    """Select the lines that explain a request, a flow or an upstream.

    Parameters
    ----------
    content : LogContent
        Parsed logs.
    name : str
        Id of a request, client address of a flow, or id of an upstream.

    Returns
    -------
    list of LogLine
        Lines that contain the name, lines of the flows in these lines, and the last status of
        their upstreams that each process logged before the end of the flows.
    """
    naming_lines = [line for line in content.lines if line.has_field_value(name)]
    flows = {line.fields["flow"] for line in naming_lines if "flow" in line.fields}
    flow_lines = [line for line in content.lines if line.fields.get("flow") in flows]
    upstreams = {line.fields["upstream"] for line in flow_lines if "upstream" in line.fields}
    end = max((line.time for line in flow_lines), default="")
    status_lines = [
        line
        for line in content.lines
        if line.event in UPSTREAM_STATUS_EVENTS
        and line.fields.get("upstream") in upstreams
        and line.time <= end
    ]
    selected_ids = {
        id(line) for line in (*naming_lines, *flow_lines, *_select_latest(status_lines))
    }
    return [line for line in content.lines if id(line) in selected_ids]


def _select_latest(status_lines: list[LogLine]) -> Iterator[LogLine]:
    """Yield the last line of each instance about each upstream."""
    latest = {(line.instance, line.fields["upstream"]): line for line in status_lines}
    yield from latest.values()


@cappa.command(
    name="explain",
    help="Print the log lines that explain one request, flow or upstream.",
    description="Example: chicorypost explain 5f61f0027fba0a8d balancer-*.log",
)
@dataclass
class ExplainCommand:
    """Reads the logs of many processes and prints the related lines in order of time."""

    name: Annotated[
        str, cappa.Arg(help="Id of a request, client address of a flow, or id of an upstream.")
    ]
    logs: Annotated[list[Path], cappa.Arg(help="Log files.", num_args=-1)]

    def __call__(self) -> None:
        """Read the logs and print the selected lines."""
        texts: list[str] = []
        for path in self.logs:
            try:
                texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
            except OSError as error:
                raise cappa.Exit(f"{path}: {error.strerror}", code=ExitCode.USAGE) from error
        content = read_logs(texts)
        selected = select_related_lines(content, self.name)
        if not selected:
            detail = f"no line names {self.name!r} in {len(content.lines)} log lines"
            raise cappa.Exit(detail, code=ExitCode.REFUSED)
        for line in selected:
            print(format_line(line))
        if content.unreadable_count:
            print(f"({content.unreadable_count} lines were no log lines and were passed over)")


def format_line(line: LogLine) -> str:
    """Return a log line formatted for operators."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.time} {line.instance:24} {line.event:18} {fields}"
