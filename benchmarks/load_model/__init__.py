"""Load simulation without a network; each balancer sees only its share of the load."""

from benchmarks.load_model.model import LARGE, MEDIUM, LoadModel, LoadResult, ModelSettings
from benchmarks.load_model.patterns import PATTERNS, Pattern
from benchmarks.load_model.policies import COPY_SETTINGS, POLICIES, REPEAT_SETTINGS

__all__ = [
    "COPY_SETTINGS",
    "LARGE",
    "MEDIUM",
    "PATTERNS",
    "POLICIES",
    "REPEAT_SETTINGS",
    "LoadModel",
    "LoadResult",
    "ModelSettings",
    "Pattern",
]
