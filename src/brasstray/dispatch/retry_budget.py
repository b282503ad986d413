"""Bound the repeats of tasks that may have run."""

from __future__ import annotations

DEPOSIT_PER_SUCCESS = 0.1
MAX_BALANCE = 50.0


class RetryBudget:
    """Allow repeats as a tenth of successes, with some saved for a bad moment.

    Guards against a retry storm: when much fails at once, repeats would double the load
    on what is left, and keep it failing.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def deposit(self) -> None:
        """Take note of a success."""
        self._balance = min(MAX_BALANCE, self._balance + DEPOSIT_PER_SUCCESS)

    def try_withdraw(self) -> bool:
        """Tell whether one more repeat is allowed, and take it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


__all__ = ["RetryBudget"]
