"""``chicorypost explain``: the story of one request, flow or upstream, from the logs."""

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
"""Events that tell what a process believes of an upstream."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log: when, which process, what, and its fields."""

    time: str
    instance: str
    event: str
    fields: dict[str, Any] = field(hash=False)

    def has_field_value(self, name: str) -> bool:
        """Return whether a field of the line has exactly this value."""
        return any(str(value) == name for value in self.fields.values())


@dataclass(slots=True)
class LogContent:
    """What was read: the lines in order of time, and how many were no log lines."""

    lines: list[LogLine]
    unreadable_count: int = 0


def read_logs(texts: Iterable[str]) -> LogContent:
    """Read log lines of any number of processes.

    Parameters
    ----------
    texts : iterable of str
        Lines; what stands before the first brace is passed over.

    Returns
    -------
    LogContent
        The lines in order of time.
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
    except (ValueError, KeyError, AttributeError):
        return None


def select_related_lines(content: LogContent, name: str) -> list[LogLine]:
    """Return the lines that explain a request, a flow or an upstream.

    Parameters
    ----------
    content : LogContent
        The logs.
    name : str
        Id of a request, client's end of a flow, or name of an upstream.

    Returns
    -------
    list of LogLine
        Lines that name it; for a request also those of its flows, and what was believed of their
        upstreams while they were open.
    """
    direct = [line for line in content.lines if line.has_field_value(name)]
    flows = {line.fields["flow"] for line in direct if "flow" in line.fields}
    of_flows = [line for line in content.lines if line.fields.get("flow") in flows]
    upstreams = {line.fields["upstream"] for line in of_flows if "upstream" in line.fields}
    end = max((line.time for line in of_flows), default="")
    beliefs = [
        line
        for line in content.lines
        if line.event in UPSTREAM_STATUS_EVENTS
        and line.fields.get("upstream") in upstreams
        and line.time <= end
    ]
    chosen = {id(line) for line in (*direct, *of_flows, *_select_latest(beliefs))}
    return [line for line in content.lines if id(line) in chosen]


def _select_latest(beliefs: list[LogLine]) -> Iterator[LogLine]:
    """Keep the last line of each process about each upstream: what it believed then."""
    last = {(line.instance, line.fields["upstream"]): line for line in beliefs}
    yield from last.values()


@cappa.command(
    name="explain",
    help="Print the story of one request, flow or upstream from logs.",
    description="Example: chicorypost explain 5f61f0027fba0a8d balancer-*.log",
)
@dataclass
class ExplainCommand:
    """Reads logs of many processes and prints the lines that explain one request, in order."""

    name: Annotated[str, cappa.Arg(help="id of a request, client's end of a flow, or upstream")]
    logs: Annotated[list[Path], cappa.Arg(help="log files", num_args=-1)]

    def __call__(self) -> None:
        """Read and print."""
        texts: list[str] = []
        for path in self.logs:
            try:
                texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
            except OSError as error:
                raise cappa.Exit(f"{path}: {error.strerror}", code=ExitCode.USAGE) from error
        content = read_logs(texts)
        story = select_related_lines(content, self.name)
        if not story:
            detail = f"no line names {self.name!r}; read {len(content.lines)} lines"
            raise cappa.Exit(detail, code=ExitCode.REFUSED)
        for line in story:
            print(format_line(line))
        if content.unreadable_count:
            print(f"({content.unreadable_count} lines were no log lines and were passed over)")


def format_line(line: LogLine) -> str:
    """Return a line as people read it."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.time} {line.instance:24} {line.event:18} {fields}"
