"""Compute ideal response times: one queue for all slots, without any delay."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from measure.workload import DrawnJob


def ideal_responses(jobs: list[DrawnJob], slots: int) -> dict[int, float]:
    """Return each job's response time in seconds.

    All run times are known in advance. Each free slot goes to the waiting job with the
    least remaining work, which starts its longest task first.
    """
    arrivals = sorted(jobs, key=lambda job: job.arrives)
    waiting: list[tuple[float, int, list[int]]] = []
    running: list[float] = []
    finish_times: dict[int, float] = {}
    now, position = 0.0, 0
    while position < len(arrivals) or waiting:
        while position < len(arrivals) and arrivals[position].arrives <= now:
            job = arrivals[position]
            position += 1
            heapq.heappush(waiting, (sum(job.run_ms), job.number, sorted(job.run_ms)))
        while running and running[0] <= now:
            heapq.heappop(running)
        while waiting and len(running) < slots:
            remaining_ms, number, tasks = heapq.heappop(waiting)
            run_ms = tasks.pop()
            end = now + run_ms / 1_000
            heapq.heappush(running, end)
            finish_times[number] = max(finish_times.get(number, 0.0), end)
            if tasks:
                heapq.heappush(waiting, (remaining_ms - run_ms, number, tasks))
        next_events = [arrivals[position].arrives] if position < len(arrivals) else []
        if waiting and running:
            next_events.append(running[0])
        if next_events:
            now = max(now, min(next_events))
    return {job.number: finish_times[job.number] - job.arrives for job in jobs}


__all__ = ["ideal_responses"]
