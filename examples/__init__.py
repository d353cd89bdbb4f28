"""Example settings and programs."""
