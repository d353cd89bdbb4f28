"""Load simulation without a network; each balancer sees only its share of the load."""

from benchmarks.load_model.model import LoadModel, LoadResult, ModelSettings
from benchmarks.load_model.patterns import PATTERNS, Pattern
from benchmarks.load_model.policies import POLICIES

__all__ = ["PATTERNS", "POLICIES", "LoadModel", "LoadResult", "ModelSettings", "Pattern"]
