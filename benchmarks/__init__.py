"""Benchmarks: each module is one command that prints JSON lines."""
