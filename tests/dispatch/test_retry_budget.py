"""Test that repeats are limited to a fraction of successes."""

from __future__ import annotations

import pytest

from brasstray.dispatch.retry_budget import (
    DEPOSIT_PER_SUCCESS,
    MAX_BALANCE,
    RetryBudget,
)


@pytest.mark.parametrize("successes", [0, 100, 10_000])
def test_repeats_are_a_fraction_of_successes(successes):
    """Guard against a retry storm when minions fail all tasks of repeatable jobs.

    Each failure requests a repeat; without a limit the repeats would double the load
    and keep the minions failing.
    """
    budget = RetryBudget()
    while budget.try_withdraw():
        pass
    repeats = 0
    for _ in range(successes):
        budget.deposit()
        repeats += budget.try_withdraw()
    assert repeats == pytest.approx(successes * DEPOSIT_PER_SUCCESS, abs=1)


def test_the_balance_is_capped():
    budget = RetryBudget()
    for _ in range(100_000):
        budget.deposit()
    assert sum(budget.try_withdraw() for _ in range(1_000)) == MAX_BALANCE
