"""Compute the ideal response time of a job."""

from __future__ import annotations

import heapq
from datetime import timedelta


def ideal_response(run_times_ms: list[int], slots: int) -> timedelta:
    """Return how long the tasks take on `slots` slots without any delay.

    The job has the slots to itself. All run times are known in advance, and the longest
    tasks start first.
    """
    free_at = [0] * slots
    for run_ms in sorted(run_times_ms, reverse=True):
        heapq.heapreplace(free_at, free_at[0] + run_ms)
    return timedelta(milliseconds=max(free_at))


__all__ = ["ideal_response"]
