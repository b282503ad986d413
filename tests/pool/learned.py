"""Build learned values for tests."""

from __future__ import annotations

from datetime import timedelta

from brasstray.pool.learned_values import LearnedValue

NOW = timedelta(hours=5)


def value(ratio, count=20, age=0.0, now=NOW):
    return LearnedValue(ratio, count, now - timedelta(seconds=age))
