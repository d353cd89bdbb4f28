"""Leases and views of the live balancers of one data centre."""
