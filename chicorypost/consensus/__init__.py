"""Replicated log: storage, election, replication and snapshots."""
