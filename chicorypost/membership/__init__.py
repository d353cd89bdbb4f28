"""Leases and views of the live balancers of one data centre."""

from chicorypost.membership._membership import LeaseMembership, Leave
from chicorypost.membership._settings import MembershipSettings

__all__ = ["LeaseMembership", "Leave", "MembershipSettings"]
