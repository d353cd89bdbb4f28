"""Seeds that have failed, each with its length and cause; they are played again in CI."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RegressionSeed:
    """A run that had findings once."""

    seed: int
    seconds: float
    cause: str


REGRESSION_SEEDS = (
    RegressionSeed(
        31,
        12.0,
        "the stand-in upstream gave all answers of a flow the same sequence number, so that a late "
        "copy of one was taken for the next",
    ),
    RegressionSeed(
        203,
        18.0,
        "SIGHUP met a control instance before its first line, and nobody started it again",
    ),
)
