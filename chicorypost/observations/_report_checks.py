"""Checks of reports whose types are right and whose values no balancer can mean."""

from chicorypost.base import Effect, UpstreamId
from chicorypost.observations._events import OBSERVATION_IGNORED
from chicorypost.observations._messages import (
    MAX_OBSERVATIONS,
    Observation,
    ReportObservations,
)

MAX_NUMBER = 2**62
MAX_NAME_CHARACTERS = 255
MAX_SLOWNESS_PERCENT = 100_000


def find_impossible_field(report: ReportObservations) -> str | None:
    """Return the field of a report that makes all of it unusable, or None."""
    checks = {
        "run": 0 <= report.run < MAX_NUMBER,
        "number": 0 <= report.number < MAX_NUMBER,
        "observations": len(report.observations) <= MAX_OBSERVATIONS,
    }
    return next((name for name, is_possible in checks.items() if not is_possible), None)


def select_usable(
    report: ReportObservations, reporter: str
) -> tuple[dict[UpstreamId, Observation], list[Effect]]:
    """Return the possible observations of a report, and a log event for each other one."""
    usable, events = {}, []
    for item in report.observations:
        field = _find_impossible_observation_field(item)
        if field is None:
            usable[item.upstream] = item
            continue
        upstream = f"{item.upstream:.60}"
        ignored = OBSERVATION_IGNORED.emit(reporter=reporter, upstream=upstream, field=field)
        events.append(ignored)
    return usable, list[Effect](events)


def _find_impossible_observation_field(item: Observation) -> str | None:
    checks = {
        "upstream": 0 < len(item.upstream) <= MAX_NAME_CHARACTERS,
        "started_at_ms": item.started_at_ms >= 0,
        "slowness_percent": 100 <= item.slowness_percent <= MAX_SLOWNESS_PERCENT,
    }
    return next((name for name, is_possible in checks.items() if not is_possible), None)
