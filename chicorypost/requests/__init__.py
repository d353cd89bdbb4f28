"""Requests: ownership, outcomes, retries and deadlines."""
