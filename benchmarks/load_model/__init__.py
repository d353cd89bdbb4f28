"""Model of the load without network: clients, balancers that see only their share, upstreams."""

from benchmarks.load_model.model import LoadModel, LoadResult, ModelSettings
from benchmarks.load_model.patterns import PATTERNS, Pattern
from benchmarks.load_model.policies import POLICIES

__all__ = ["PATTERNS", "POLICIES", "LoadModel", "LoadResult", "ModelSettings", "Pattern"]
