"""Layer-4 load balancer, built from state machines that can also be embedded."""

__all__ = ["__version__"]

__version__ = "0.1.0"
