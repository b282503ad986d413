"""Forward tasks to other pools, and reject early those that would end too late."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.clock.bounded import bounded_ms, bounded_seconds
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.pool.caller_shares import CallerShares
from brasstray.pool.capacity_forecast import HORIZON, forecast
from brasstray.pool.forward_target import MIN_GAIN, TRANSIT, first_to_end
from brasstray.pool.minion import Reachability
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.rejection_reason import RejectionReason
from brasstray.pool.shortage import NEVER, ShortagePlan, waits_by_priority
from brasstray.pool.step_error import attributed_to

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from brasstray.batch.ids import BatchId, PoolId
    from brasstray.clock.clock import Clock
    from brasstray.peer.message.run_tasks import RunTasks
    from brasstray.pool.capacity_forecast import CapacityForecast, Flow
    from brasstray.pool.durations import Durations
    from brasstray.pool.minion import Minion
    from brasstray.pool.other_pools import OtherPools
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.shortage import PlannedStep
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.task_registry import TaskRegistry
    from brasstray.pool.task_size import TaskSize

_MILLISECOND = timedelta(milliseconds=1)
# A slot too small for the next task is worse than none.
SLOT_SIZE_MARGIN = 1.1


class LoadSharing:
    """Forward or reject the tasks that no minion of the pool has capacity for.

    With `prioritize`, priorities and the shares of callers decide in a shortage.
    """

    def __init__(
        self,
        tasks: TaskRegistry,
        minions: Callable[[], list[Minion]],
        durations: Durations,
        task_size: TaskSize,
        others: OtherPools,
        clock: Clock,
        events: OwnerEvents,
        evacuated: Callable[[], bool],
        *,
        prioritize: bool = False,
    ) -> None:
        self._tasks = tasks
        self._minions = minions
        self._durations = durations
        self._task_size = task_size
        self._others = others
        self._clock = clock
        self._events = events
        self._evacuated = evacuated
        self._prioritize = prioritize
        self._shares = CallerShares()
        self._plan = ShortagePlan(durations, self._shares)
        self._waits: tuple[timedelta, ...] = ()
        # The jobs of which this review has rejected a step.
        self._rejected: set[BatchId] = set()
        self._cores = 0.0
        # Both are read once per review: a review may reject every waiting step.
        self._backlog = 0.0
        self._capacity = 1

    @property
    def plan(self) -> ShortagePlan:
        """Return the plan that orders waiting steps."""
        return self._plan

    def observe_demand(self, step: StepTasks, message: RunTasks) -> None:
        """Count requested tasks, and what else was done for their requester."""
        self._task_size.observe(step.needs)
        if not self._prioritize:
            return
        now = self._clock.monotonic()
        expected = self._durations.expected(step, None, ())
        done = bounded_ms(message.done_ms).total_seconds()
        self._shares.record_report(step, done, now)
        if not message.claimed:
            self._shares.record_demand(step, expected, len(message.indices), now)

    def record_start(self, step: StepTasks, expected: timedelta) -> None:
        """Count a task of `step` that is being started as work for its caller."""
        if self._prioritize:
            work = step.work(expected, 1)
            self._shares.record_start(step, work, self._clock.monotonic())

    def forward_or_reject(self, waiting_steps: list[StepTasks], now: timedelta) -> None:
        """Forward tasks that would end sooner elsewhere; reject those that are lost.

        `waiting_steps` is in the order in which the steps will get capacity.
        """
        self._waits = ()
        self._rejected.clear()
        if not waiting_steps:
            return
        self._measure_backlog()
        loads = self._others.loads()
        if not self._prioritize:
            self._review_as_usual(waiting_steps, loads, now)
            return
        ahead = self._forecast(now)
        self._cores = ahead.slots * self._task_size.cpu_millis / 1_000
        next_free = min(NEVER, timedelta(seconds=min(ahead.next_free, 1e5)))
        was_active = self._plan.active(now)
        if self._plan.detect(waiting_steps, ahead, now) and not was_active:
            waiting_steps = self._plan.order(waiting_steps, now)
        if self._plan.active(now):
            ahead = self._forecast(now, self._shares.flows(now))
        if not self._plan.active(now):
            self._review_as_usual(waiting_steps, loads, now)
            return
        kept = []
        for step in waiting_steps:
            with attributed_to(step):
                self._decide(step, ahead, loads, now)
                if step.waiting:
                    planned, ahead = self._plan.plan_step(step, ahead)
                    kept.append(planned)
                    step.admitted = True
        self._waits = waits_by_priority(kept, next_free)

    def _review_as_usual(
        self,
        waiting_steps: list[StepTasks],
        loads: dict[PoolId, PoolLoad],
        now: timedelta,
    ) -> None:
        """Forward to free slots, and reject what will be useless, without a shortage.

        Runs that are expected to take long may end early, so only waiting work counts.
        """
        wait = timedelta(0)
        for step in waiting_steps:
            # Once one step of a job is rejected, its coordinator drops the others.
            if step.batch not in self._rejected:
                with attributed_to(step):
                    wait = self._review_step(step, loads, now, wait)

    def _review_step(
        self,
        step: StepTasks,
        loads: dict[PoolId, PoolLoad],
        now: timedelta,
        wait: timedelta,
    ) -> timedelta:
        """Forward or reject a step that has to `wait`; return the wait of the next."""
        expected = self._durations.expected(step, None, ())
        lost = self._misses_deadline(step, now, wait, expected)
        if lost and self._count_without_slot(step, loads):
            self._reject(step, wait, loads)
        elif not step.forwarded:
            self._fill_free_slots(step, loads)
        step.admitted = True
        # Later steps wait until the tasks of this one have ended.
        work = step.work(expected, len(step.waiting))
        seconds = 1_000 * work / self._capacity
        return min(wait + bounded_seconds(seconds), NEVER)

    def _decide(
        self,
        step: StepTasks,
        ahead: CapacityForecast,
        loads: dict[PoolId, PoolLoad],
        now: timedelta,
    ) -> None:
        planned, _ = self._plan.plan_step(step, ahead)
        if planned.wait > TRANSIT and self._split(step, ahead, loads, now):
            return
        if not step.forwarded and not step.partial:
            self._move_if_sooner(planned, loads, now)
        if step.waiting and self._is_lost(planned, now):
            self._reject(step, planned.wait, loads)

    def _split(
        self,
        step: StepTasks,
        ahead: CapacityForecast,
        loads: dict[PoolId, PoolLoad],
        now: timedelta,
    ) -> bool:
        """Forward tasks to free slots if the rest need not be rejected."""
        rest = self._count_without_slot(step, loads)
        if rest == len(step.waiting):
            return False
        if rest:
            planned, _ = self._plan.plan_step(step, ahead, rest)
            if self._is_lost(planned, now):
                return False
        self._fill_free_slots(step, loads)
        return True

    def _move_if_sooner(
        self, planned: PlannedStep, loads: dict[PoolId, PoolLoad], now: timedelta
    ) -> None:
        """Send all of a step that would be late here to a pool where it is not."""
        step, expected = planned.step, planned.expected
        end = now + planned.wait + expected
        if end <= step.due and not self._is_lost(planned, now):
            return
        per_task = self._wait_per_task(step, expected)
        found = first_to_end(loads, step.priority, expected, per_task)
        if found is None:
            return
        pool, end_in = found
        # The last of its tasks counts.
        there = now + end_in + (len(step.waiting) - 1) * per_task
        if there + MIN_GAIN <= end and there <= step.due:
            self._queue_at(step, pool, loads)

    def _is_lost(self, planned: PlannedStep, now: timedelta) -> bool:
        """Return whether the rest of a step is rejected.

        In a shortage, a new job that may be late is rejected at once, so that it may
        come back in time. What has begun does not wait for more urgent work.
        """
        step = planned.step
        if not step.partial and not step.admitted:
            return planned.wait > self._plan.room(planned, self._cores, now)
        return self._misses_deadline(step, now, planned.wait, planned.expected)

    def _misses_deadline(
        self, step: StepTasks, now: timedelta, wait: timedelta, expected: timedelta
    ) -> bool:
        """Return whether `step`, which has to `wait`, should be rejected.

        A job of which nothing has run is rejected if it cannot end while its answer is
        useful, so that its caller need not wait for that. A job that has begun, or is
        spread over several pools, has an unknown outcome if its rest is rejected. It is
        given up only if, without any wait, it would end too late both by the caller's
        estimate and by what was learned.
        """
        if step.partial:
            return now + min(expected, step.estimate) > step.limit
        return now + wait + expected > min(step.useful_until, step.limit)

    def _is_useless(self, step: StepTasks, now: timedelta) -> bool:
        """Return whether `step` should be rejected whatever its wait and duration."""
        return self._misses_deadline(step, now, timedelta(0), timedelta(0))

    def _count_without_slot(
        self, step: StepTasks, loads: dict[PoolId, PoolLoad]
    ) -> int:
        """Return how many waiting tasks of `step` find no free slot in other pools."""
        if step.forwarded:
            return len(step.waiting)
        free = sum(max(0, load.free_slots) for load in loads.values())
        return max(0, len(step.waiting) - free)

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
        self._rejected.clear()
        self._measure_backlog()
        loads = self._others.loads()
        for step in waiting_steps:
            with attributed_to(step):
                self._evacuate_step(step, loads, now)

    def _evacuate_step(
        self, step: StepTasks, loads: dict[PoolId, PoolLoad], now: timedelta
    ) -> None:
        if loads:
            self._fill_free_slots(step, loads)
            self._queue_elsewhere(step, loads)
        elif not self._others.any_connectable() or self._is_useless(step, now):
            self._reject(step, timedelta(0), loads)

    def _queue_elsewhere(self, step: StepTasks, loads: dict[PoolId, PoolLoad]) -> None:
        """Send the remaining tasks of `step` to the pool where they end first."""
        if not step.waiting:
            return
        expected = self._durations.expected(step, None, ())
        per_task = self._wait_per_task(step, expected)
        found = first_to_end(loads, step.priority, expected, per_task)
        if found is not None:
            self._queue_at(step, found[0], loads)

    def _wait_per_task(self, step: StepTasks, expected: timedelta) -> timedelta:
        """Return by how much a task lengthens the wait in another pool.

        The other pools are assumed to be as large as this one.
        """
        seconds = 1_000 * step.work(expected, 1) / self._capacity
        return min(bounded_seconds(seconds), NEVER)

    def _queue_at(
        self, step: StepTasks, pool: PoolId, loads: dict[PoolId, PoolLoad]
    ) -> None:
        count, load = len(step.waiting), loads[pool]
        self._forward(step, count, pool)
        beyond = max(0, count - load.free_slots)
        loads[pool] = replace(
            load,
            free_slots=max(0, load.free_slots - count),
            excess=load.excess + beyond,
        )

    def _forward(self, step: StepTasks, count: int, pool: PoolId) -> None:
        self._backlog -= self._work(step, count)
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

    def _reject(
        self, step: StepTasks, wait: timedelta, loads: dict[PoolId, PoolLoad]
    ) -> None:
        evacuated = self._evacuated()
        # Nothing is known of waits beyond the horizon of the plan.
        known = wait if wait < NEVER else timedelta(seconds=HORIZON)
        wait_ms = max(known // _MILLISECOND, 0 if evacuated else self._backlog_ms)
        indices = tuple(task.name.index for task in step.waiting)
        reason = self._rejection_reason(step, loads, evacuated=evacuated)
        self._events.rejected(step, len(indices), wait_ms, reason)
        self._rejected.add(step.batch)
        self._backlog -= self._work(step, len(indices))
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

    def _rejection_reason(
        self, step: StepTasks, loads: dict[PoolId, PoolLoad], *, evacuated: bool
    ) -> RejectionReason:
        now = self._clock.monotonic()
        return RejectionReason(
            evacuated,
            self._plan.active(now),
            self._shares.mean_to_own(step, now),
            max((load.age_ms for load in loads.values()), default=None),
        )

    def load(self) -> PoolLoad:
        """Return the free slots and the expected wait of a new task."""
        if self._evacuated():
            return PoolLoad()
        now = self._clock.monotonic()
        self._measure_backlog()
        if self._backlog:
            waits = tuple(wait // _MILLISECOND for wait in self._waits)
            return PoolLoad(0, self._backlog_ms, waits_ms=waits)
        slot_cpu = round(self._slot_cpu)
        usable = [m for m in self._minions() if m.usable(now)]
        free = sum(m.free_cpu_millis // slot_cpu for m in usable)
        if free:
            return PoolLoad(free)
        next_free = self._forecast(now).next_free
        return PoolLoad(waits_ms=(round(1_000 * min(next_free, 1e5)),))

    def _measure_backlog(self) -> None:
        self._capacity = max(1, self._leased_cpu())
        self._backlog = sum(
            self._work(step, len(step.waiting))
            for step in self._tasks.steps
            if step.waiting
        )

    @property
    def _backlog_ms(self) -> int:
        longest_ms = NEVER / _MILLISECOND
        return round(min(1e6 * self._backlog / self._capacity, longest_ms))

    def _work(self, step: StepTasks, count: int) -> float:
        with attributed_to(step):
            return step.work(self._durations.expected(step, None, ()), count)

    @property
    def _slot_cpu(self) -> float:
        return self._task_size.cpu_millis * SLOT_SIZE_MARGIN

    def _forecast(self, now: timedelta, flows: Sequence[Flow] = ()) -> CapacityForecast:
        minions = self._minions()
        return forecast(minions, self._durations, self._slot_cpu, now, flows)

    def _leased_cpu(self) -> int:
        return sum(
            m.entry.capacity.cpu_millis
            for m in self._minions()
            if m.reach is Reachability.LEASED
        )


__all__ = ["LoadSharing"]
