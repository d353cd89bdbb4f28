"""Layer-4 load balancer built from embeddable coordination parts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
