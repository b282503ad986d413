"""Decide which tasks start first, and on which minion."""

from __future__ import annotations

from enum import IntEnum
from operator import itemgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.outlook import Outlook
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.step_tasks import StepTasks

# Weight of the unused capacity, relative to the expected duration of the run.
FIT_WEIGHT = 0.3
# A cold minion gets a task only where no other has capacity, as it is not known how
# slow it is.
COLD_PENALTY = 1.0
# The share of the time until its objective that a task may be expected to take, and of
# a run's duration within which another must be expected to end: the rest is for calls
# and for the error of what was learned.
TIME_USED = 0.9


class Rank(IntEnum):
    """Rank steps by how useful their answer can still be, the best first."""

    ON_TIME = 0
    LATE = 1
    STALE = 2


def urgency(
    step: StepTasks, expected: timedelta, now: timedelta
) -> tuple[Rank, bool, float]:
    """Return the key by which steps are sorted, the most urgent first.

    Steps that can still meet their objective come first, those that have begun before
    new ones, as a partial job has no answer. They are sorted by the latest time at
    which they can start: short jobs have little slack, and long ones become more urgent
    as they wait. Late steps follow, the shortest first, so that one late job does not
    make the next one late as well. Steps whose answer is of little use come last.
    """
    latest_start = step.due - expected
    if now <= latest_start:
        return (Rank.ON_TIME, not step.begun, latest_start.total_seconds())
    rank = Rank.LATE if now + expected <= step.useful_until else Rank.STALE
    work = expected.total_seconds() * len(step.tasks)
    return (rank, not step.begun, work)


def choose_minion(
    task: PoolTask,
    minions: Iterable[Minion],
    durations: Durations,
    now: timedelta,
    outlook: Outlook | None = None,
) -> Minion | None:
    """Return the best minion on which to start `task` at `now`, or None.

    With an `outlook` on a pool of uneven minions, the end of the task decides, and None
    may also mean that the task ends sooner if it waits for a better minion.
    """
    candidates = (minion for minion in minions if _may_run(task, minion, now))
    if outlook is not None and outlook.uneven:
        return _first_to_end(task, candidates, durations, now, outlook)
    return min(
        candidates, key=lambda minion: _cost(task, minion, durations, now), default=None
    )


def _cost(
    task: PoolTask, minion: Minion, durations: Durations, now: timedelta
) -> float:
    entry = minion.entry
    ratio = durations.ratio(task.parent_step, entry.key, entry.labels)
    return ratio + _fit_cost(task, minion, now)


def _fit_cost(task: PoolTask, minion: Minion, now: timedelta) -> float:
    entry = minion.entry
    cpu_left = minion.free_cpu_millis - task.parent_step.needs.cpu_millis
    cost = FIT_WEIGHT * cpu_left / max(1, entry.capacity.cpu_millis)
    if entry.key in task.avoided:
        cost += 1.0
    if minion.is_cold(now):
        cost += COLD_PENALTY
    return cost


def _first_to_end(
    task: PoolTask,
    candidates: Iterable[Minion],
    durations: Durations,
    now: timedelta,
    outlook: Outlook,
) -> Minion | None:
    """Return the minion where `task` ends in time, or else first; None to wait.

    Of the minions where it ends in time, a slow one is preferred: the fast ones are
    kept for tasks that would be late elsewhere.
    """
    step = task.parent_step
    in_time: list[tuple[float, Minion]] = []
    late: list[tuple[float, Minion]] = []
    for minion in candidates:
        entry = minion.entry
        lasts = durations.expected(step, entry.key, entry.labels)
        fit = _fit_cost(task, minion, now)
        in_doubt = entry.key in task.avoided or minion.is_cold(now)
        if lasts <= (step.due - now) * TIME_USED and not in_doubt:
            kept = durations.slowness(entry.key) / outlook.slowest
            in_time.append((fit - kept, minion))
        else:
            late.append((lasts / step.estimate + fit, minion))
    if in_time:
        return min(in_time, key=itemgetter(0))[1]
    if not late:
        return None
    best = min(late, key=itemgetter(0))[1]
    lasts = durations.expected(step, best.entry.key, best.entry.labels)
    if now - step.arrived >= lasts - outlook.shortest(step):
        # It has waited for as long as the fastest minion would have saved: others have
        # taken the room.
        return best
    awaited = outlook.first_end(task)
    if awaited is not None and awaited[1] - now < lasts * TIME_USED:
        outlook.reserve(step, awaited[0])
        return None
    return best


def _may_run(task: PoolTask, minion: Minion, now: timedelta) -> bool:
    step, entry = task.parent_step, minion.entry
    # The cheapest check goes first: most minions of a busy pool are full.
    if minion.free_cpu_millis < step.needs.cpu_millis:
        return False
    if entry.service != step.service or not step.needs.fits(minion.free_capacity):
        return False
    if step.label and step.label not in entry.labels:
        return False
    if step.max_per_minion and minion.runs_of(step) >= step.max_per_minion:
        return False
    return minion.usable(now)


__all__ = ["Rank", "choose_minion", "urgency"]
