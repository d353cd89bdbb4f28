"""Command line of chicorypost."""

from chicorypost.commands._main import main

__all__ = ["main"]
