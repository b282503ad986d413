"""Keep the shares of a pool that priorities and callers had recently."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.capacity_forecast import Flow
from brasstray.pool.decayed_work import DecayedWork

if TYPE_CHECKING:
    from brasstray.pool.step_tasks import StepTasks

# Covers several of the longest usual tasks.
SHARE_PERIOD = timedelta(seconds=2)
# Short enough to follow a burst, long enough for several jobs of each kind.
DEMAND_PERIOD = timedelta(seconds=1)
# Callers differ if one asks for this many times the work of another.
UNEQUAL = 2.0


@dataclass(frozen=True, slots=True)
class _Sums:
    """Hold sums over callers `at` a time, by priority.

    `demand` is in cores, `mean_done` the mean of the callers in core seconds.
    """

    at: timedelta
    differ: bool
    demand: dict[int, float]
    mean_done: dict[int, float]


class CallerShares:
    """Hold the work requested by priority, and started by priority and by caller.

    A caller is an entry host: callers behind one host cannot be told apart. Hosts
    report what was done for them in all pools, which replaces what this pool has
    started for them if that is less. All work is in core seconds.
    """

    def __init__(self) -> None:
        self._by_caller: DecayedWork[tuple[int, str]] = DecayedWork(SHARE_PERIOD)
        self._by_priority: DecayedWork[int] = DecayedWork(SHARE_PERIOD)
        self._demand: DecayedWork[tuple[int, str]] = DecayedWork(DEMAND_PERIOD)
        self._task_count: DecayedWork[int] = DecayedWork(DEMAND_PERIOD)
        self._task_time: DecayedWork[int] = DecayedWork(DEMAND_PERIOD)
        # A review asks for the same sums for each waiting step.
        self._sums: _Sums | None = None

    def record_demand(
        self, step: StepTasks, expected: timedelta, count: int, now: timedelta
    ) -> None:
        """Count `count` requested tasks."""
        self._sums = None
        self._demand.add(_key(step), step.work(expected, count), now)
        self._task_count.add(step.priority, count, now)
        self._task_time.add(step.priority, count * expected.total_seconds(), now)

    def record_report(self, step: StepTasks, work: float, now: timedelta) -> None:
        """Record the work that the requester of `step` had done at its priority."""
        self._sums = None
        self._by_caller.raise_to(_key(step), work, now)

    def record_start(self, step: StepTasks, work: float, now: timedelta) -> None:
        """Count work that is being started."""
        self._sums = None
        self._by_caller.add(_key(step), work, now)
        self._by_priority.add(step.priority, work, now)

    def differ(self, now: timedelta) -> bool:
        """Return whether the priorities differ, or the demand of callers does."""
        return self._sums_at(now).differ

    def done(self, step: StepTasks, now: timedelta) -> float:
        """Return the recent work for the caller of `step` at its priority."""
        return self._by_caller.get(_key(step), now)

    def mean_to_own(self, step: StepTasks, now: timedelta) -> float:
        """Return the mean work of callers, over that for the caller of `step`."""
        own = self.done(step, now)
        if not own:
            return 1.0
        return self._sums_at(now).mean_done.get(step.priority, 0.0) / own

    def by_priority(self, now: timedelta) -> dict[int, float]:
        """Return the recently started work by priority."""
        keys = self._by_priority.keys(now)
        return {key: self._by_priority.get(key, now) for key in keys}

    def demand(self, lowest: int, now: timedelta) -> float:
        """Return the rate at which work up to `lowest` is requested, in cores."""
        demand = self._sums_at(now).demand
        return sum(rate for priority, rate in demand.items() if priority <= lowest)

    def flows(self, now: timedelta) -> list[Flow]:
        """Return what is being requested, by priority."""
        found = []
        for priority in sorted(self._task_count.keys(now)):
            count = self._task_count.get(priority, now)
            duration = self._task_time.get(priority, now) / count
            rate = self._task_count.rate(priority, now)
            found.append(Flow(priority, rate, duration))
        return found

    def _sums_at(self, now: timedelta) -> _Sums:
        if self._sums is None or self._sums.at != now:
            self._sums = self._add_up(now)
        return self._sums

    def _add_up(self, now: timedelta) -> _Sums:
        demand: dict[int, float] = {}
        done: dict[int, list[float]] = {}
        by_key = {key: self._demand.get(key, now) for key in self._demand.keys(now)}
        for key in by_key:
            rate = self._demand.rate(key, now)
            demand[key[0]] = demand.get(key[0], 0.0) + rate
            done.setdefault(key[0], []).append(self._by_caller.get(key, now))
        means = {priority: sum(all_) / len(all_) for priority, all_ in done.items()}
        amounts = by_key.values()
        differ = len(demand) > 1 or (
            bool(amounts) and max(amounts) > UNEQUAL * min(amounts)
        )
        return _Sums(now, differ, demand, means)


def _key(step: StepTasks) -> tuple[int, str]:
    return step.priority, step.requester.name


__all__ = ["CallerShares"]
