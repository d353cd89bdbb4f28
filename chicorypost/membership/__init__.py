"""Leases and views of the live balancers of one data centre."""

from chicorypost.membership._membership import Leave, Membership
from chicorypost.membership._settings import MembershipSettings

__all__ = ["Leave", "Membership", "MembershipSettings"]
