"""The plan of a run: a sequence of timed actions derived from one seed."""

import random
from dataclasses import dataclass
from enum import Enum

CONTROL_FAULT_INTERVAL_SECONDS = 6.0
"""Minimum interval between two faults of control instances: the cluster tolerates one loss at a
time, and an instance with a wiped disk needs this time to catch up."""


class Action(Enum):
    """Kinds of faults and maintenance."""

    CONTROL_KILL = "control-kill"
    CONTROL_KILL_ALL = "control-kill-all"
    CONTROL_FREEZE = "control-freeze"
    CONTROL_WIPE = "control-wipe"
    CONTROL_TERM = "control-term"
    CONTROL_SILENT = "control-silent"
    CONTROL_RESET = "control-reset"
    CONTROL_DELAY = "control-delay"
    CONTROL_ONE_WAY = "control-one-way"
    CONTROL_DISK_FULL = "control-disk-full"
    BALANCER_KILL = "balancer-kill"
    BALANCER_FREEZE = "balancer-freeze"
    BALANCER_TERM = "balancer-term"
    SETTINGS_CHANGE = "settings-change"
    PACKETS_LOST = "packets-lost"
    UPSTREAM_DRAIN = "upstream-drain"
    UPSTREAM_CRASH = "upstream-crash"
    CONFIGURATION = "configuration"
    CONFIGURATION_RACE = "configuration-race"
    CONFIGURATION_BAD = "configuration-bad"
    GARBAGE = "garbage"
    DISKS_FULL_IN_TURN = "disks-full-in-turn"
    EVACUATION = "evacuation"
    UPSTREAM_HANG = "upstream-hang"


CONTROL_FAULTS = tuple(action for action in Action if action.value.startswith("control-"))
REPORTED_FAULTS = (Action.GARBAGE, Action.DISKS_FULL_IN_TURN)
"""Faults that operators of similar systems have reported. Another random generator plans them, so
that the rest of the plans of earlier seeds stays as it was."""
HARD_LOAD_ACTIONS = (Action.EVACUATION, Action.UPSTREAM_HANG)
"""Actions with random generators of their own, for the same reason."""
OTHER_ACTIONS = tuple(
    action
    for action in Action
    if action not in CONTROL_FAULTS + REPORTED_FAULTS + HARD_LOAD_ACTIONS
)


@dataclass(frozen=True, slots=True)
class Step:
    """An action on the target with this number, at a time in seconds since the start of traffic."""

    starts_at: float
    action: Action
    target: int
    duration_seconds: float


@dataclass(frozen=True, slots=True)
class Features:
    """Optional features of the deployment of a run."""

    has_warmup: bool
    shares_observations: bool


def make_features(seed: int) -> Features:
    """Return the features that are enabled with this seed."""
    rng = random.Random(f"features of {seed}")
    return Features(has_warmup=rng.random() < 0.7, shares_observations=rng.random() < 0.5)


def make_plan(seed: int, seconds: float) -> list[Step]:
    """Return the plan of a run.

    Parameters
    ----------
    seed : int
        Seed of the plan; the same seed gives the same plan.
    seconds : float
        Length of the plan.

    Returns
    -------
    list of Step
        Steps in order of time; faults of control instances are `CONTROL_FAULT_INTERVAL_SECONDS` or
        more apart, except for full disks in turn; other actions overlap.
    """
    rng = random.Random(seed)
    steps = []
    at = 1.0
    while at < seconds:
        steps.append(_make_step(rng, at, rng.choice(CONTROL_FAULTS)))
        at += CONTROL_FAULT_INTERVAL_SECONDS + rng.uniform(0.0, 3.0)
    at = 0.5
    while at < seconds:
        steps.append(_make_step(rng, at, rng.choice(OTHER_ACTIONS)))
        at += rng.uniform(0.3, 1.5)
    rng = random.Random(f"reported faults of {seed}")
    at = rng.uniform(0.5, 4.0)
    while at < seconds:
        steps.append(_make_step(rng, at, rng.choice(REPORTED_FAULTS)))
        at += rng.uniform(3.0, 9.0)
    steps += _make_series(f"evacuations of {seed}", Action.EVACUATION, seconds)
    if make_features(seed).shares_observations:
        steps += _make_series(f"hanging upstreams of {seed}", Action.UPSTREAM_HANG, seconds)
    return sorted(steps, key=lambda step: step.starts_at)


def _make_series(generator_seed: str, action: Action, seconds: float) -> list[Step]:
    rng = random.Random(generator_seed)
    steps = []
    at = rng.uniform(0.5, 4.0)
    while at < seconds:
        steps.append(_make_step(rng, at, action))
        at += rng.uniform(3.0, 9.0)
    return steps


def _make_step(rng: random.Random, at: float, action: Action) -> Step:
    return Step(round(at, 2), action, rng.randrange(1000), round(rng.uniform(0.5, 3.0), 2))
