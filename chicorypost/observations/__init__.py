"""Shared observations: what balancers report of upstreams, and what control instances judge by it.

Control instances run an `ObservationJudge`, a state machine without I/O. Balancers report by
`chicorypost.cookies._observer` and import only the messages and the settings.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.observations._judge import ObservationJudge
    from chicorypost.observations._messages import (
        MAX_OBSERVATIONS,
        Observation,
        ObservedState,
        ReportObservations,
    )
    from chicorypost.observations._settings import ObservationSettings

__all__ = [
    "MAX_OBSERVATIONS",
    "Observation",
    "ObservationJudge",
    "ObservationSettings",
    "ObservedState",
    "ReportObservations",
]

__getattr__ = import_lazily(
    __name__,
    {
        "MAX_OBSERVATIONS": "_messages",
        "Observation": "_messages",
        "ObservationJudge": "_judge",
        "ObservationSettings": "_settings",
        "ObservedState": "_messages",
        "ReportObservations": "_messages",
    },
)
