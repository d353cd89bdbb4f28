"""Fault soak: runs the real programs as processes, injects faults and checks the guarantees."""
