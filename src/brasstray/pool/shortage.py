"""Plan what starts first while waiting work cannot all meet its objective."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from brasstray.pool.placement import Rank, urgency
from brasstray.pool.step_error import attributed_to

if TYPE_CHECKING:
    from collections.abc import Iterable

    from brasstray.pool.caller_shares import CallerShares
    from brasstray.pool.capacity_forecast import CapacityForecast
    from brasstray.pool.durations import Durations
    from brasstray.pool.step_tasks import StepTasks

# The part of the started work that each priority gets at least if it has demand.
FLOOR = 0.05
# How strongly the share of a caller counts against it.
FAIRNESS = 2
# The part of its slack that a new step may be planned to wait, as a plan is a mean and
# more urgent work comes in bursts. The most urgent work has nothing ahead.
ROOM_PART = 0.8
# A shortage is over once, for this long, all waiting work could meet its objective.
SHORTAGE_HOLD = timedelta(seconds=1)
# The wait for a pool without minions.
NEVER = timedelta(days=1)
MOST_URGENT = 0
# Lower priorities are reported as one.
MAX_REPORTED_PRIORITY = 7


@dataclass(frozen=True, slots=True)
class PlannedStep:
    """Hold a waiting step, and how long it waits until its last task starts."""

    step: StepTasks
    wait: timedelta
    expected: timedelta


class ShortagePlan:
    """Order waiting steps, and say for how long each will wait.

    Without a shortage, or if all work has one priority and one caller, the order is by
    `urgency` alone. In a shortage, steps that have begun go first, then those by
    priority, with a floor for each; within a priority, the caller for whom least was
    done goes first, then by `urgency`.
    """

    def __init__(self, durations: Durations, shares: CallerShares) -> None:
        self._durations = durations
        self._shares = shares
        self._shortage_until = timedelta(0)
        self._floored: list[StepTasks] = []

    def active(self, now: timedelta) -> bool:
        """Return whether priorities and shares decide."""
        return now < self._shortage_until and self._shares.differ(now)

    def order(self, waiting: list[StepTasks], now: timedelta) -> list[StepTasks]:
        """Return `waiting` in the order in which the steps are to start."""
        keyed = [(self._urgency(step, now), step) for step in waiting]
        keyed.sort(key=lambda item: item[0])
        if not self.active(now):
            self._floored = []
            return [step for _, step in keyed]
        first = [s for key, s in keyed if s.partial and key[0] is not Rank.STALE]
        last = [s for key, s in keyed if key[0] is Rank.STALE]
        new = [s for key, s in keyed if not s.partial and key[0] is not Rank.STALE]
        return first + self._by_priority(new, now) + last

    def _urgency(self, step: StepTasks, now: timedelta) -> tuple[Rank, bool, float]:
        with attributed_to(step):
            return urgency(step, self._durations.expected(step, None, ()), now)

    def _by_priority(self, steps: list[StepTasks], now: timedelta) -> list[StepTasks]:
        promised, self._floored = self._floored, []
        groups: dict[int, list[StepTasks]] = {}
        for step in steps:
            groups.setdefault(step.priority, []).append(step)
        started = self._shares.by_priority(now)
        floor = FLOOR * sum(started.values())
        rest: list[StepTasks] = []
        for number, priority in enumerate(sorted(groups)):
            group = groups[priority]
            ordered = sorted((s for s in group if s.admitted), key=lambda s: s.due)
            ordered += self._by_caller([s for s in group if not s.admitted], now)
            floored = [step for step in ordered if step.admitted and step in promised]
            if not floored and number > 0 and started.get(priority, 0.0) < floor:
                floored = ordered[:1]
            self._floored += floored
            rest += [step for step in ordered if step not in floored]
        return self._floored + rest

    def _by_caller(self, steps: list[StepTasks], now: timedelta) -> list[StepTasks]:
        """Return `steps` of one priority so that the callers get equal shares."""
        callers: dict[str, list[StepTasks]] = {}
        for step in reversed(steps):
            callers.setdefault(step.requester.name, []).append(step)
        tie = count()
        heap = [
            (self._shares.done(queue[-1], now), next(tie), queue)
            for queue in callers.values()
        ]
        heapify(heap)
        ordered = []
        while heap:
            done, _, queue = heappop(heap)
            step = queue.pop()
            ordered.append(step)
            if queue:
                heappush(heap, (done + self._work(step), next(tie), queue))
        return ordered

    def _work(self, step: StepTasks) -> float:
        return step.work(self._durations.expected(step, None, ()), len(step.waiting))

    def plan_step(
        self, step: StepTasks, forecast: CapacityForecast, count: int | None = None
    ) -> tuple[PlannedStep, CapacityForecast]:
        """Return how long `step` will wait, and the forecast after it.

        With `count`, only so many of its waiting tasks are planned.
        """
        expected = self._durations.expected(step, None, ())
        before_others = step.partial or step in self._floored
        start, after = forecast.place(
            len(step.waiting) if count is None else count,
            expected.total_seconds(),
            MOST_URGENT if before_others else step.priority,
        )
        wait = timedelta(seconds=min(start, NEVER.total_seconds()))
        return PlannedStep(step, wait, expected), after

    def detect(
        self, ordered: list[StepTasks], forecast: CapacityForecast, now: timedelta
    ) -> bool:
        """Return whether waiting makes some step miss its objective; if so, take over.

        `ordered` is in the order in which the steps are to start. Steps that would be
        late on a free slot as well do not count.
        """
        for step in ordered:
            with attributed_to(step):
                planned, forecast = self.plan_step(step, forecast)
                soonest = now + planned.expected
            if soonest <= step.due < soonest + planned.wait:
                self._shortage_until = now + SHORTAGE_HOLD
                return True
        return False

    def room(self, planned: PlannedStep, cores: float, now: timedelta) -> timedelta:
        """Return how long a new step may wait in a shortage to be admitted.

        It must end on time. A caller for whom more was done than for the others is left
        less of the queue, so that shares become equal however hard one of them pushes.
        """
        step = planned.step
        slack = min(step.due, step.limit) - now - planned.expected
        if step.priority > MOST_URGENT:
            slack *= ROOM_PART
        if self._shares.demand(step.priority, now) < cores * (1 - FLOOR):
            return slack
        return slack * min(1.0, self._shares.mean_to_own(step, now)) ** FAIRNESS


def waits_by_priority(
    planned: Iterable[PlannedStep], next_free: timedelta
) -> tuple[timedelta, ...]:
    """Return how long a new task waits, by priority; the last goes for all lower ones.

    It waits for the next free slot, for steps that have begun, and for the others of
    its priority or a higher one.
    """
    waits: list[timedelta] = [next_free]
    for entry in planned:
        priority = max(0, min(entry.step.priority, MAX_REPORTED_PRIORITY))
        waits += waits[-1:] * (priority + 1 - len(waits))
        for number in range(0 if entry.step.partial else priority, len(waits)):
            waits[number] = max(waits[number], entry.wait)
    return tuple(waits)


__all__ = ["PlannedStep", "ShortagePlan", "waits_by_priority"]
