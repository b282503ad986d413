"""Limit how often tasks that may have run are sent again."""

from __future__ import annotations

DEPOSIT_PER_SUCCESS = 0.1
MAX_BALANCE = 50.0


class RetryBudget:
    """Allow one repeat per ten successes, plus a saved balance for short outages.

    The limit prevents a retry storm: when many tasks fail at once, unlimited repeats
    would double the load on the remaining minions and keep them failing.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def deposit(self) -> None:
        """Credit the budget for one successful task."""
        self._balance = min(MAX_BALANCE, self._balance + DEPOSIT_PER_SUCCESS)

    def try_withdraw(self) -> bool:
        """Withdraw one repeat; return False if the balance does not allow it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


__all__ = ["RetryBudget"]
