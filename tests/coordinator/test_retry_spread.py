"""Check when refused callers may come back."""

from __future__ import annotations

from datetime import timedelta
from random import Random

from brasstray.coordinator.retry_spread import MAX_SPREAD, RetrySpread

SECOND = timedelta(seconds=1)


def refuse(priorities, served=4, seed=1):
    """Return the waits of callers refused at once, `served` jobs a second before."""
    spread = RetrySpread(Random(seed))
    for number in range(served * 5):
        for priority in (0, 1):
            spread.record_served(priority, number * SECOND / max(1, served))
    return [spread.choose(p, SECOND, 5 * SECOND) for p in priorities]


def test_refused_callers_do_not_return_at_once():
    # Guards against a wave of refused callers that returns as one wave.
    waits = refuse([1] * 20)
    assert all(SECOND <= wait <= SECOND + MAX_SPREAD for wait in waits)
    for second in range(1, 6):
        returning = sum(second <= wait / SECOND < second + 1 for wait in waits)
        assert returning < 20 / 2


def test_the_most_urgent_return_first():
    waits = refuse([0, 1, 1, 1, 1, 1, 1, 1, 1, 0])
    assert waits[-1] <= max(waits[1:-1])
    assert waits[0] == SECOND


def test_waits_are_bounded_without_any_served():
    assert max(refuse([1] * 2_000, served=0)) <= SECOND + MAX_SPREAD


def test_waits_depend_on_the_seed_alone():
    assert refuse([1] * 9) == refuse([1] * 9)
    assert refuse([1] * 9) != refuse([1] * 9, seed=2)
