"""Command line of chicorypost."""
