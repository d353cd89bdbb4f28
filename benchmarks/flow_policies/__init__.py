"""Policies that choose the upstream of a packet, behind one interface, for comparison."""

from benchmarks.flow_policies._alternatives import FullReplicationPolicy, TableHistoryPolicy
from benchmarks.flow_policies._baselines import (
    ConsistentHashPolicy,
    LeastLoadedPolicy,
    ModuloPolicy,
    RandomPolicy,
)
from benchmarks.flow_policies._handoff import HandoffPolicy
from benchmarks.flow_policies._policy import DeliveryCallback, Policy

BASELINES: tuple[type[Policy], ...] = (
    ModuloPolicy,
    ConsistentHashPolicy,
    RandomPolicy,
    LeastLoadedPolicy,
)
ALTERNATIVES: tuple[type[Policy], ...] = (TableHistoryPolicy, FullReplicationPolicy)
POLICIES: tuple[type[Policy], ...] = (HandoffPolicy, *BASELINES, *ALTERNATIVES)

__all__ = [
    "ALTERNATIVES",
    "BASELINES",
    "POLICIES",
    "ConsistentHashPolicy",
    "DeliveryCallback",
    "HandoffPolicy",
    "LeastLoadedPolicy",
    "ModuloPolicy",
    "Policy",
    "RandomPolicy",
]
