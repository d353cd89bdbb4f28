"""Ways to choose the upstream of a packet, behind one interface."""

from benchmarks.flow_policies._baselines import (
    ConsistentHashPolicy,
    LeastLoadedPolicy,
    ModuloPolicy,
    RandomPolicy,
)
from benchmarks.flow_policies._handoff import HandoffPolicy
from benchmarks.flow_policies._policy import Deliver, Policy

BASELINES: tuple[type[Policy], ...] = (
    ModuloPolicy,
    ConsistentHashPolicy,
    RandomPolicy,
    LeastLoadedPolicy,
)
POLICIES: tuple[type[Policy], ...] = (HandoffPolicy, *BASELINES)

__all__ = [
    "BASELINES",
    "POLICIES",
    "ConsistentHashPolicy",
    "Deliver",
    "HandoffPolicy",
    "LeastLoadedPolicy",
    "ModuloPolicy",
    "Policy",
    "RandomPolicy",
]
