"""Convert numbers from outside to durations that any sum of them can hold."""

from __future__ import annotations

from datetime import timedelta

# Thousands of sums of it stay far below the range of timedelta.
MAX_DURATION = timedelta(days=36_500)
_MAX_MS = MAX_DURATION // timedelta(milliseconds=1)
_MAX_S = MAX_DURATION.total_seconds()


def bounded_ms(count: float) -> timedelta:
    """Return `count` milliseconds, at most MAX_DURATION in either direction."""
    return timedelta(milliseconds=max(-_MAX_MS, min(_MAX_MS, count)))


def bounded_seconds(count: float) -> timedelta:
    """Return `count` seconds, at most MAX_DURATION in either direction."""
    return timedelta(seconds=max(-_MAX_S, min(_MAX_S, count)))


__all__ = ["MAX_DURATION", "bounded_ms", "bounded_seconds"]
