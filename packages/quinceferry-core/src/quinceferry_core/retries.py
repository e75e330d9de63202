"""Retry budget, which limits retries to a fraction of all requests."""

from dataclasses import dataclass

BURST_RETRIES = 10.0
"""Number of retries that may be made at once before the share of requests limits them."""


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of all requests, so that failures do not multiply the load.

    :param share: retries deposited by each request.
    """

    share: float
    balance: float = BURST_RETRIES
    denied: int = 0

    def deposit(self) -> None:
        """Count a request, which deposits its share of a retry."""
        self.balance = min(BURST_RETRIES, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return whether one was available."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        return True
