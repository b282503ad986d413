"""Forward tasks to other pools, and reject early those that would end too late."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.minion import Reachability
from brasstray.pool.pool_load import PoolLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import PoolId
    from brasstray.batch.resources import Resources
    from brasstray.clock.clock import Clock
    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.other_pools import OtherPools
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.task_registry import TaskRegistry

_MILLISECOND = timedelta(milliseconds=1)
# The size of a free slot is a moving average of task sizes plus a margin: a slot too
# small for the next task is worse than none.
TASK_SIZE_SMOOTHING = 0.05
SLOT_SIZE_MARGIN = 1.1
DEFAULT_TASK_CPU_MILLIS = 1_000.0


class LoadSharing:
    """Forward or reject the tasks that no minion of the pool has capacity for."""

    def __init__(
        self,
        tasks: TaskRegistry,
        minions: Callable[[], list[Minion]],
        durations: Durations,
        others: OtherPools,
        clock: Clock,
        events: OwnerEvents,
        evacuated: Callable[[], bool],
    ) -> None:
        self._tasks = tasks
        self._minions = minions
        self._durations = durations
        self._others = others
        self._clock = clock
        self._events = events
        self._evacuated = evacuated
        self._mean_task_cpu: float | None = None

    def observe_demand(self, needs: Resources) -> None:
        """Update the average task size with the resources of a requested task."""
        cpu = max(1, needs.cpu_millis)
        if self._mean_task_cpu is None:
            self._mean_task_cpu = cpu
        self._mean_task_cpu += TASK_SIZE_SMOOTHING * (cpu - self._mean_task_cpu)

    def forward_or_reject(self, waiting_steps: list[StepTasks], now: timedelta) -> None:
        """Forward waiting tasks to pools with free slots, or reject them.

        `waiting_steps` is in the order in which the steps will get capacity.
        """
        if not waiting_steps:
            return
        loads = self._others.loads()
        capacity = self._leased_cpu()
        wait = timedelta(0)
        for step in waiting_steps:
            expected = self._durations.expected(step, None, ())
            if not step.forwarded:
                self._fill_free_slots(step, loads)
            if step.waiting and self._misses_deadline(step, now + wait + expected):
                self._reject(step, wait)
            # Later steps wait until the tasks of this one have ended.
            work = expected * len(step.waiting)
            wait += work * step.needs.cpu_millis / max(1, capacity)

    def _fill_free_slots(self, step: StepTasks, loads: dict[PoolId, PoolLoad]) -> None:
        """Forward tasks of `step` to free slots, in the pool with the most first."""
        for pool, load in sorted(loads.items(), key=lambda item: -item[1].free_slots):
            count = min(load.free_slots, len(step.waiting))
            if count <= 0:
                break
            self._forward(step, count, pool)
            loads[pool] = replace(load, free_slots=load.free_slots - count)

    def evacuate(self, waiting_steps: list[StepTasks], now: timedelta) -> None:
        """Send all waiting tasks to other pools, as none may start here.

        Tasks for which no slot is free elsewhere wait in the queue of another pool;
        here they would wait until their deadline. If no other pool is reachable or
        about to be, they are rejected at once.
        """
        loads = self._others.loads()
        for step in waiting_steps:
            if loads:
                self._fill_free_slots(step, loads)
                self._queue_elsewhere(step, loads)
            elif not self._others.any_connectable() or self._misses_deadline(step, now):
                self._reject(step, timedelta(0))

    def _queue_elsewhere(self, step: StepTasks, loads: dict[PoolId, PoolLoad]) -> None:
        """Send the remaining tasks of `step` to the pool with the shortest wait."""
        if not step.waiting:
            return
        count = len(step.waiting)
        expected = self._durations.expected(step, None, ())
        # The other pools are assumed to be as large as this one.
        wait_per_task = expected * step.needs.cpu_millis / max(1, self._leased_cpu())
        pool = min(
            loads,
            key=lambda p: (
                loads[p].wait_ms * _MILLISECOND + loads[p].excess * wait_per_task
            ),
        )
        self._forward(step, count, pool)
        load = loads[pool]
        loads[pool] = replace(load, excess=load.excess + count)

    def _forward(self, step: StepTasks, count: int, pool: PoolId) -> None:
        tasks, step.waiting = step.waiting[-count:], step.waiting[:-count]
        for task in tasks:
            del step.tasks[task.name.index]
        self._others.reserve_slots(pool, count)
        evacuated = self._evacuated()
        if evacuated:
            self._events.evacuated_tasks(step, count, pool)
        else:
            self._events.forwarded(step, count, pool)
        indices = tuple(task.name.index for task in tasks)
        step.requester.send(
            TasksReturned(
                batch=step.batch,
                step=step.step,
                indices=indices,
                pool=pool,
                begun=step.begun,
                evacuated=evacuated,
            )
        )
        self._tasks.forget_if_empty(step)

    def _misses_deadline(self, step: StepTasks, end: timedelta) -> bool:
        """Return whether `step`, which would end at `end`, should be rejected.

        A job of which nothing has run is rejected if it cannot end while its answer is
        useful, so that its caller need not wait for that. A job that is spread over
        several pools or has begun is continued as long as its caller waits.
        """
        if step.begun:
            return False
        complete = len(step.tasks) == step.width
        return end > (min(step.useful_until, step.limit) if complete else step.limit)

    def _reject(self, step: StepTasks, wait: timedelta) -> None:
        evacuated = self._evacuated()
        wait_ms = max(wait // _MILLISECOND, self.load().wait_ms)
        indices = tuple(task.name.index for task in step.waiting)
        self._events.rejected(step, len(indices), wait_ms, evacuated=evacuated)
        step.waiting.clear()
        for index in indices:
            del step.tasks[index]
        step.requester.send(
            TasksReturned(
                batch=step.batch,
                step=step.step,
                indices=indices,
                wait_ms=wait_ms,
                begun=step.begun,
                evacuated=evacuated,
            )
        )
        self._tasks.forget_if_empty(step)

    def load(self) -> PoolLoad:
        """Return the free slots and the expected wait of a new task."""
        if self._evacuated():
            return PoolLoad()
        now = self._clock.monotonic()
        usable = [m for m in self._minions() if m.usable(now)]
        waiting = sum(
            len(step.waiting)
            * step.needs.cpu_millis
            * self._durations.expected(step, None, ()).total_seconds()
            for step in self._tasks.steps
        )
        if waiting:
            return PoolLoad(0, round(1_000 * waiting / max(1, self._leased_cpu())))
        # The size of tasks is unknown before the first request.
        slot_cpu = round(
            (self._mean_task_cpu or DEFAULT_TASK_CPU_MILLIS) * SLOT_SIZE_MARGIN
        )
        return PoolLoad(sum(m.free_cpu_millis // slot_cpu for m in usable), 0)

    def _leased_cpu(self) -> int:
        return sum(
            m.entry.capacity.cpu_millis
            for m in self._minions()
            if m.reach is Reachability.LEASED
        )


__all__ = ["LoadSharing"]
