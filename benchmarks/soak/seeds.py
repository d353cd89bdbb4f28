"""Seeds of failed runs, each with its length and cause; the tests run them again."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RegressionSeed:
    """A run that had findings before its cause was fixed."""

    seed: int
    seconds: float
    cause: str


REGRESSION_SEEDS = (
    RegressionSeed(
        31,
        12.0,
        "the stand-in upstream gave all responses of a flow the same sequence number, so that a "
        "late copy of one was accepted as the next",
    ),
    RegressionSeed(
        203,
        18.0,
        "SIGHUP ended a control instance that was still starting, and it wasn't restarted",
    ),
)
