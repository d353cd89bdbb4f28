"""Load simulation without a network: clients, balancers with partial knowledge, upstreams."""

from benchmarks.load_model.model import LoadModel, LoadResult, ModelSettings
from benchmarks.load_model.patterns import PATTERNS, Pattern
from benchmarks.load_model.policies import POLICIES

__all__ = ["PATTERNS", "POLICIES", "LoadModel", "LoadResult", "ModelSettings", "Pattern"]
