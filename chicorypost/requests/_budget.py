"""Retry budget that bounds retries to a share of successes."""

from chicorypost.base import ServiceId

RETRY_COST = 1.0
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Token bucket per service: a success adds a fraction of a token, a retry costs one token.

    Parameters
    ----------
    capacity : float
        Largest number of tokens of a service.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.tokens: dict[ServiceId, float] = {}

    def add_success(self, service: ServiceId, share: float) -> None:
        """Add the tokens of one success, up to the capacity."""
        tokens = self.tokens.get(service, 0.0) + share
        self.tokens[service] = min(self.capacity, tokens)

    def spend_retry(self, service: ServiceId) -> bool:
        """Spend the token of one retry; return False if the budget is exhausted."""
        tokens = self.tokens.get(service, 0.0)
        if tokens < RETRY_COST - ROUNDING_TOLERANCE:
            return False
        self.tokens[service] = tokens - RETRY_COST
        return True

    def retain_services(self, services: set[ServiceId]) -> None:
        """Remove the tokens of services that are no longer configured."""
        self.tokens = {name: tokens for name, tokens in self.tokens.items() if name in services}
