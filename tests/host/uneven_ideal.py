"""Compute how many jobs of a load are on time if speeds and durations are known.

Nothing takes time but the tasks. Tasks start by their latest start on a sound minion,
in any data centre, on the slowest free slot where they end in time, else on the
fastest.
"""

from __future__ import annotations

import heapq
from datetime import timedelta


def ideal_on_time_share(jobs, size, slots_each):
    """Return the share of `jobs` that are on time on the minions of `size`."""
    speeds = [size.slowdowns[n % len(size.slowdowns)] for n in range(size.minions_each)]
    free = sorted(s for s in speeds for _ in range(slots_each * size.data_centres))
    arrivals = sorted(jobs, key=lambda job: job.at)
    ends, waiting, last_end, sequence = [], [], {}, 0
    while arrivals or waiting:
        events = [job.at for job in arrivals[:1]] + [end[0] for end in ends[:1]]
        now = min(events)
        while arrivals and arrivals[0].at <= now:
            job = arrivals.pop(0)
            due = job.at + job.objective
            for task in job.tasks:
                sequence += 1
                heapq.heappush(waiting, (due - task, sequence, task, due, job.name))
        while ends and ends[0][0] <= now:
            free.append(heapq.heappop(ends)[1])
        while free and waiting:
            _, _, task, due, name = heapq.heappop(waiting)
            in_time = [s for s in free if now + task * s <= due]
            slowdown = max(in_time) if in_time else min(free)
            free.remove(slowdown)
            end = now + task * slowdown
            heapq.heappush(ends, (end, slowdown))
            last_end[name] = max(last_end.get(name, timedelta(0)), end)
    on_time = sum(last_end[job.name] - job.at <= job.objective for job in jobs)
    return on_time / len(jobs)
