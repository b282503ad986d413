"""Decide which tasks start first, and on which minion."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.step_tasks import StepTasks

# Weight of the unused capacity, relative to the expected duration of the run.
FIT_WEIGHT = 0.3
# A cold minion gets a task only where no other has capacity, as it is not known how
# slow it is.
COLD_PENALTY = 1.0


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
    task: PoolTask, minions: Iterable[Minion], durations: Durations, now: timedelta
) -> Minion | None:
    """Return the best minion on which to start `task` at `now`, or None."""
    step = task.parent_step
    best, best_cost = None, 0.0
    for minion in minions:
        if not _may_run(task, minion, now):
            continue
        entry = minion.entry
        cpu_left = minion.free_cpu_millis - step.needs.cpu_millis
        unused = cpu_left / max(1, entry.capacity.cpu_millis)
        ratio = durations.ratio(step, entry.key, entry.labels)
        cost = ratio + FIT_WEIGHT * unused
        if entry.key in task.avoided:
            cost += 1.0
        if minion.is_cold(now):
            cost += COLD_PENALTY
        if best is None or cost < best_cost:
            best, best_cost = minion, cost
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
    if step.max_per_minion:
        same_step_runs = sum(
            name.batch == step.batch and name.step == step.step
            for name, _ in minion.runs
        )
        if same_step_runs >= step.max_per_minion:
            return False
    return minion.usable(now)


__all__ = ["Rank", "choose_minion", "urgency"]
