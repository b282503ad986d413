"""Forecast when the capacity of a pool becomes free."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heapreplace
from math import inf
from typing import TYPE_CHECKING

from brasstray.pool.minion import Reachability

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from datetime import timedelta

    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.run_record import RunRecord

# A run that takes longer than expected is taken to need this part of that again.
OVERDUE_PART = 0.05
# Waits beyond this, in seconds, are not told apart: no objective allows for them.
HORIZON = 1.0


@dataclass(frozen=True, slots=True)
class Flow:
    """Describe the tasks of one priority that are being requested.

    `rate` is in tasks per second, `duration` in seconds.
    """

    priority: int
    rate: float
    duration: float


class CapacityForecast:
    """Hold the time at which each slot of a pool becomes free.

    A slot takes a task of typical size. Times are in seconds from now, as a plan goes
    through many of them. `flows` are the tasks that will be requested meanwhile, and
    `arrived` how many of each have been given slots.
    """

    def __init__(
        self,
        free_in: list[float],
        flows: Sequence[Flow] = (),
        arrived: Sequence[int] = (),
        unplaced: list[tuple[int, int]] | None = None,
    ) -> None:
        self._free_in = free_in
        self._flows = flows
        self._arrived = arrived or [0] * len(flows)
        # Priorities and counts that find no slots; later forecasts are only fuller.
        self._unplaced = [] if unplaced is None else unplaced
        # Rejected steps leave the forecast as it is, and many steps are alike.
        self._known: dict[tuple[int, float, int], tuple[float, CapacityForecast]] = {}
        heapify(free_in)

    @property
    def slots(self) -> int:
        """Return the number of slots."""
        return len(self._free_in)

    @property
    def next_free(self) -> float:
        """Return in how many seconds the next slot becomes free."""
        return self._free_in[0] if self._free_in else inf

    def place(
        self, count: int, duration: float, priority: int
    ) -> tuple[float, CapacityForecast]:
        """Return in how many seconds the last of `count` tasks starts, and the rest.

        Tasks of more urgent flows that will have been requested by then start before.
        """
        key = count, duration, priority
        found = self._known.get(key)
        if found is None:
            found = self._place(count, duration, priority)
            if found[0] != inf:
                self._known[key] = found
        return found

    def _place(
        self, count: int, duration: float, priority: int
    ) -> tuple[float, CapacityForecast]:
        if any(priority >= p and count >= c for p, c in self._unplaced):
            return inf, self
        wanted = count
        free_in, arrived, start = list(self._free_in), list(self._arrived), inf
        flows = [
            (number, flow)
            for number, flow in enumerate(self._flows)
            if flow.priority < priority
        ]
        while count and free_in and free_in[0] <= HORIZON:
            at = free_in[0]
            for number, flow in flows:
                if arrived[number] < int(flow.rate * at):
                    arrived[number] += 1
                    heapreplace(free_in, at + flow.duration)
                    break
            else:
                start, count = at, count - 1
                heapreplace(free_in, at + duration)
        if count:
            self._unplaced.append((priority, wanted))
            return inf, self
        return start, CapacityForecast(free_in, self._flows, arrived, self._unplaced)


def forecast(
    minions: Iterable[Minion],
    durations: Durations,
    slot_cpu: float,
    now: timedelta,
    flows: Sequence[Flow] = (),
) -> CapacityForecast:
    """Return when slots of `slot_cpu` on `minions` become free, by their runs."""
    free_in: list[float] = []
    for minion in minions:
        if minion.reach is not Reachability.LEASED or minion.entry.draining:
            continue
        slots = int(minion.entry.capacity.cpu_millis // slot_cpu)
        limit = minion.health.max_runs(now)
        if limit is not None:
            slots = min(slots, limit)
        ends = sorted(
            _seconds_left(record, durations, now) for record in minion.runs.values()
        )
        free = max(0, slots - len(ends))
        # Several small runs may have to end before a slot is free.
        free_in += [0.0] * free + ends[len(ends) - (slots - free) :]
    return CapacityForecast(free_in, flows)


def _seconds_left(record: RunRecord, durations: Durations, now: timedelta) -> float:
    expected = record.expected
    if not expected and record.task is not None:
        expected = durations.expected(record.task.parent_step, None, ())
    left = record.began + expected - now
    return max(left, expected * OVERDUE_PART).total_seconds()


__all__ = ["CapacityForecast", "Flow", "forecast"]
