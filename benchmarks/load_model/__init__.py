"""Model of the load without network: clients, balancers that see only their share, upstreams."""

from benchmarks.load_model.model import Model, ModelSettings, Result
from benchmarks.load_model.patterns import PATTERNS, Pattern
from benchmarks.load_model.ways import WAYS

__all__ = ["PATTERNS", "WAYS", "Model", "ModelSettings", "Pattern", "Result"]
