"""Retry budget: retries are a bounded share of successes."""

from chicorypost.base import ServiceId

RETRY_COST = 1.0
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Tokens per service: successes add a share of a retry, each retry takes a whole one.

    Parameters
    ----------
    capacity : float
        Retries that can be saved up.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.tokens: dict[ServiceId, float] = {}

    def add_success(self, service: ServiceId, share: float) -> None:
        """Count one success."""
        saved = self.tokens.get(service, 0.0) + share
        self.tokens[service] = min(self.capacity, saved)

    def spend_retry(self, service: ServiceId) -> bool:
        """Take one retry out of the budget; return False if there is none."""
        saved = self.tokens.get(service, 0.0)
        if saved < RETRY_COST - ROUNDING_TOLERANCE:
            return False
        self.tokens[service] = saved - RETRY_COST
        return True

    def retain_services(self, services: set[ServiceId]) -> None:
        """Drop services that are not configured any more."""
        self.tokens = {name: saved for name, saved in self.tokens.items() if name in services}
