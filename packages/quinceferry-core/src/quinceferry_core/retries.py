"""Budget that bounds retries to a share of all requests."""

from dataclasses import dataclass

BURST_RETRIES = 10.0
"""Retries that may be made at once before the share of requests limits them."""


@dataclass(slots=True)
class RetryBudget:
    """Bounds re-runs to a share of all requests, so that failures do not multiply load.

    :param share: retries earned by each request.
    """

    share: float
    balance: float = BURST_RETRIES
    denied: int = 0

    def deposit(self) -> None:
        """Count one request."""
        self.balance = min(BURST_RETRIES, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        return True
