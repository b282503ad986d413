"""Coordinate jobs: request their tasks from pools and collect the results."""

from __future__ import annotations

from contextlib import contextmanager
from datetime import timedelta
from typing import TYPE_CHECKING
from zlib import crc32

import anyio

from brasstray.batch.limits import can_run
from brasstray.batch.outcome import BatchOutcome, BatchResult, GiveUpReason
from brasstray.batch.task_name import TaskName
from brasstray.clock.bounded import bounded_ms
from brasstray.coordinator.active_batch import ActiveBatch
from brasstray.coordinator.retry_spread import RetrySpread
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.pool.caller_shares import SHARE_PERIOD
from brasstray.pool.decayed_work import DecayedWork

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from random import Random

    from brasstray.batch.batch import Batch
    from brasstray.batch.ids import BatchId, PoolId
    from brasstray.batch.queue import Queue
    from brasstray.clock.clock import Clock
    from brasstray.coordinator.events import CoordinatorEvents
    from brasstray.coordinator.pools import Pools
    from brasstray.coordinator.timing import CoordinatorTiming
    from brasstray.peer.message.tasks_ended import TasksEnded
    from brasstray.peer.message.tasks_returned import TasksReturned
    from brasstray.pool.pool_load import PoolLoad

_MILLISECOND = timedelta(milliseconds=1)
# An answer that misses its objective is useful up to three times the objective.
USEFUL_OBJECTIVE_FACTOR = 3
# A longer wait is no forecast: nothing is known of a pool without minions.
MAX_RETRY_AFTER = timedelta(minutes=1)
# An owner takes longer than this to start a task and to handle its end.
MIN_TASK_TIME = timedelta(microseconds=500)
_FAILED_BY_ERROR = BatchResult(BatchOutcome.FAILED, GiveUpReason.ERROR)


class Coordinator:
    """Run the jobs that callers submit to this host."""

    def __init__(
        self,
        home: PoolId,
        pools: Pools,
        clock: Clock,
        timing: CoordinatorTiming,
        events: CoordinatorEvents,
        random: Random,
        check_suspension: Callable[[], None] = lambda: None,
    ) -> None:
        self._check_suspension = check_suspension
        self._home = home
        self._pools = pools
        self._clock = clock
        self._timing = timing
        self._events = events
        self._active: dict[BatchId, ActiveBatch] = {}
        self._done: DecayedWork[int] = DecayedWork(SHARE_PERIOD)
        self._retry_spread = RetrySpread(random)
        self._unreachable_since: dict[PoolId, timedelta] = {}
        self._job_added = anyio.Event()

    @property
    def active_count(self) -> int:
        """Return the number of active jobs."""
        return len(self._active)

    def pending_count(self, queue: str) -> int:
        """Return the number of active jobs of `queue` without a completed task."""
        return sum(
            active.queue.name == queue and not active.any_done
            for active in self._active.values()
        )

    def is_active(self, batch: BatchId) -> bool:
        """Return whether the job is active here."""
        return batch in self._active

    async def run(self, batch: Batch, queue: Queue, timeout: timedelta) -> BatchResult:
        """Run `batch` and return its result, at the latest after `timeout`.

        If the call is cancelled and no other caller waits for the same job, the runs of
        the job are stopped. A job that no minion can ever run, or whose handling raises
        an error, has failed, as it would fare no better wherever it was sent again. One
        with more tasks than can be handled within `timeout` is refused at once.
        """
        if not can_run(batch):
            needs = "; ".join(str(step.needs) for step in batch.steps)
            self._events.request_refused(batch.id, GiveUpReason.IMPOSSIBLE, needs)
            return BatchResult(BatchOutcome.FAILED, GiveUpReason.IMPOSSIBLE)
        least = self._least_time(batch)
        if least > timeout and not self.is_active(batch.id):
            detail = f"takes {least // _MILLISECOND} ms or more"
            self._events.request_refused(batch.id, GiveUpReason.OVERLOADED, detail)
            return BatchResult(
                BatchOutcome.NOT_RUN, GiveUpReason.OVERLOADED, MAX_RETRY_AFTER
            )
        with self._contain_errors(batch.id):
            return await self._run(batch, queue, timeout)
        return _FAILED_BY_ERROR

    def _least_time(self, batch: Batch) -> timedelta:
        """Return what the known owners together take at least to handle all tasks."""
        pools = {*self._pools.reachable(), *self._pools.connectable()}
        tasks = sum(step.count for step in batch.steps)
        return tasks * MIN_TASK_TIME / max(1, len(pools))

    @contextmanager
    def _contain_errors(self, batch: BatchId) -> Iterator[None]:
        """Fail the job alone if an error is raised, so that all others go on."""
        try:
            yield
        except Exception as error:  # noqa: BLE001 - any error of one job
            self._events.job_failed(batch, error)
            active = self._active.get(batch)
            if active is not None:
                self._end(active, _FAILED_BY_ERROR)

    async def _run(self, batch: Batch, queue: Queue, timeout: timedelta) -> BatchResult:
        active = self._active.get(batch.id)
        if active is None:
            active = self._add_job(batch, queue, timeout)
            await self._send_first(active)
        active.waiters += 1
        remaining = active.limit - self._clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, remaining.total_seconds())):
                await active.ended.wait()
            if active.result is None:
                result = BatchResult(BatchOutcome.UNKNOWN, GiveUpReason.TOO_LATE)
                self._end(active, result)
        finally:
            active.waiters -= 1
            if active.result is None and active.waiters == 0:
                gone = BatchResult(BatchOutcome.CANCELLED, GiveUpReason.CALLER_GONE)
                self._end(active, gone)
        assert active.result is not None
        return active.result

    def _add_job(self, batch: Batch, queue: Queue, timeout: timedelta) -> ActiveBatch:
        now = self._clock.monotonic()
        objective = critical_path(batch) * queue.stretch + queue.slack
        active = ActiveBatch(
            batch,
            queue,
            now,
            now + objective,
            now + objective * USEFUL_OBJECTIVE_FACTOR,
            now + timeout,
            steps_left={n: step.count for n, step in enumerate(batch.steps)},
        )
        self._active[batch.id] = active
        self._job_added.set()
        return active

    async def _send_first(self, active: ActiveBatch) -> None:
        if self._pools.all_evacuated():
            self._refuse_evacuated(active)
            return
        pool = self._choose_pool(active.batch.id)
        deadline = self._clock.monotonic() + self._timing.pool_timeout
        while pool is None and self._clock.monotonic() < deadline:
            await self._clock.sleep(self._timing.tick / 5)
            pool = self._choose_pool(active.batch.id)
        if pool is None:
            refusal = BatchResult(
                BatchOutcome.NOT_RUN, GiveUpReason.NO_POOL, self._timing.retry_after
            )
            self._end(active, refusal)
            return
        self._send_ready_steps(active, pool)

    def _choose_pool(self, batch: BatchId) -> PoolId | None:
        reachable = self._pools.reachable()
        if self._home in reachable:
            # Preferred even if it is evacuated: its owner is the first to learn which
            # other pool has free slots.
            return self._home
        return self._choose_available_pool(batch, reachable)

    def _choose_available_pool(
        self, batch: BatchId, pools: dict[PoolId, PoolLoad]
    ) -> PoolId | None:
        """Return the best reachable pool that is not evacuated, or else one to try.

        The best pool has the shortest wait, then the most free slots.
        """
        evacuated = self._pools.is_evacuated
        reachable = {pool: load for pool, load in pools.items() if not evacuated(pool)}
        if reachable:
            return min(
                reachable,
                key=lambda pool: (reachable[pool].wait_ms, -reachable[pool].free_slots),
            )
        # All hosts of a data centre lose their owner at the same time. Hashing the id
        # of the job distributes their jobs over the other pools.
        connectable = sorted(p for p in self._pools.connectable() if not evacuated(p))
        return (
            connectable[crc32(batch.encode()) % len(connectable)]
            if connectable
            else None
        )

    def _send_ready_steps(self, active: ActiveBatch, pool: PoolId) -> None:
        for step_number, step in enumerate(active.batch.steps):
            if step_number in active.steps_sent or any(
                active.steps_left.get(dependency) for dependency in step.after
            ):
                continue
            active.steps_sent.add(step_number)
            self._send(active, step_number, range(step.count), pool)

    def _send(
        self,
        active: ActiveBatch,
        step_number: int,
        indices: Iterable[int],
        pool: PoolId,
        *,
        forwarded: bool = False,
        claimed: bool = False,
    ) -> None:
        self._check_suspension()
        now = self._clock.monotonic()
        if active.result is not None or active.limit <= now:
            return
        step, queue = active.batch.steps[step_number], active.queue
        sent_indices = tuple(indices)
        for index in sent_indices:
            active.placed[step_number, index] = pool
        message = RunTasks(
            batch=active.batch.id,
            step=step_number,
            indices=sent_indices,
            width=step.count,
            queue=queue.name,
            service=queue.service,
            spec=active.batch.spec,
            cpu_millis=step.needs.cpu_millis,
            memory_mb=step.needs.memory_mb,
            gpus=step.needs.gpus,
            estimate_ms=max(1, step.estimate // _MILLISECOND),
            due_ms=(active.due - now) // _MILLISECOND,
            useful_ms=(active.useful - now) // _MILLISECOND,
            limit_ms=(active.limit - now) // _MILLISECOND,
            priority=queue.priority,
            attempts=queue.attempts,
            rack=step.rack,
            label=step.label,
            max_per_minion=step.max_per_minion,
            forwarded=forwarded,
            claimed=claimed,
            begun=active.begun,
            done_ms=round(1_000 * self._done.get(queue.priority, now)),
        )
        self._pools.send(pool, message)

    # Messages from owners

    def handle_tasks_ended(self, pool: PoolId, message: TasksEnded) -> None:
        """Record tasks that ended; send the steps that became ready, or end the job."""
        active = self._active.get(message.batch)
        if active is None:
            return
        with self._contain_errors(message.batch):
            self._record_ends(active, pool, message)

    def _record_ends(
        self, active: ActiveBatch, pool: PoolId, message: TasksEnded
    ) -> None:
        if message.failed:
            failed = BatchResult(BatchOutcome.FAILED, GiveUpReason.TASK_FAILED)
            self._end(active, failed)
            return
        for index in message.done:
            if active.placed.pop((message.step, index), None) is not None:
                active.any_done = active.begun = True
                active.steps_left[message.step] -= 1
        if not any(active.steps_left.values()):
            work = _work(active.batch)
            now = self._clock.monotonic()
            self._done.add(active.queue.priority, work, now)
            self._retry_spread.record_served(active.queue.priority, now)
            self._end(active, BatchResult(BatchOutcome.SUCCEEDED))
        elif not active.steps_left[message.step]:
            self._send_ready_steps(active, self._choose_pool(message.batch) or pool)

    def handle_tasks_returned(self, pool: PoolId, message: TasksReturned) -> None:
        """Send tasks that `pool` returned to another pool, or end the job."""
        active = self._active.get(message.batch)
        if active is None:
            return
        with self._contain_errors(message.batch):
            self._take_back(active, pool, message)

    def _take_back(
        self, active: ActiveBatch, pool: PoolId, message: TasksReturned
    ) -> None:
        indices = [
            index
            for index in message.indices
            if active.placed.get((message.step, index)) == pool
        ]
        if not indices:
            return
        active.begun |= message.begun
        if message.outcome_unknown:
            self._end(active, BatchResult(BatchOutcome.UNKNOWN, GiveUpReason.POOL_LOST))
        elif message.evacuated:
            self._evacuate(active, message.step, indices, message.pool)
        elif message.pool is None:
            self._refuse_overloaded(active, len(indices), message.wait_ms)
        else:
            target = message.pool if self._is_known(message.pool) else pool
            self._events.moved(active, len(indices), target)
            self._send(active, message.step, indices, target, forwarded=True)

    def _is_known(self, pool: PoolId) -> bool:
        return pool in self._pools.reachable() or pool in self._pools.connectable()

    def _evacuate(
        self,
        active: ActiveBatch,
        step_number: int,
        indices: list[int],
        proposed: PoolId | None,
    ) -> None:
        """Send tasks from an evacuated pool to the proposed pool, or to another one.

        The proposed pool is checked against the evacuations known here, which are at
        least as recent as those the owner knew. Otherwise, tasks could bounce between
        pools that were evacuated one after the other. The tasks are not marked as
        forwarded, so the new pool may forward them once.
        """
        target = proposed
        pools = self._pools
        if target is None or not self._is_known(target) or pools.is_evacuated(target):
            target = self._choose_available_pool(active.batch.id, pools.reachable())
        if target is None:
            self._refuse_evacuated(active, len(indices))
            return
        self._events.moved(active, len(indices), target)
        self._send(active, step_number, indices, target)

    def _refuse_overloaded(
        self, active: ActiveBatch, returned: int, wait_ms: int
    ) -> None:
        known = min(bounded_ms(wait_ms), MAX_RETRY_AFTER)
        earliest = max(self._timing.retry_after, known)
        now = self._clock.monotonic()
        wait = self._retry_spread.choose(active.queue.priority, earliest, now)
        self._end_unfinished(active, returned, GiveUpReason.OVERLOADED, wait)

    def _refuse_evacuated(self, active: ActiveBatch, returned: int = 0) -> None:
        wait = self._timing.evacuated_retry_after
        self._end_unfinished(active, returned, GiveUpReason.EVACUATED, wait)

    def _end_unfinished(
        self,
        active: ActiveBatch,
        returned: int,
        reason: GiveUpReason,
        wait: timedelta,
    ) -> None:
        """End a job of which at least `returned` tasks cannot be run.

        The outcome is "not run" only if no task of the job can have started.
        """
        nothing_started = len(active.placed) == returned and not active.begun
        outcome = BatchOutcome.NOT_RUN if nothing_started else BatchOutcome.UNKNOWN
        self._end(active, BatchResult(outcome, reason, wait))

    def claim(self, pool: PoolId, sent: frozenset[TaskName] = frozenset()) -> None:
        """Request all tasks at `pool` again, as its owner or the link to it is new.

        Tasks in `sent` were already requested over that link and are left out.
        """
        self._unreachable_since.pop(pool, None)
        for active in list(self._active.values()):
            with self._contain_errors(active.batch.id):
                self._claim_job(active, pool, sent)

    def _claim_job(
        self, active: ActiveBatch, pool: PoolId, sent: frozenset[TaskName]
    ) -> None:
        batch = active.batch.id
        for step_number, placed in active.indices_at(pool).items():
            indices = [i for i in placed if TaskName(batch, step_number, i) not in sent]
            if not indices:
                continue
            active.begun = True
            self._events.claimed(active, len(indices), pool)
            self._send(active, step_number, indices, pool, claimed=True)

    def has_tasks_at(self, pool: PoolId) -> bool:
        """Return whether an unfinished task is placed at `pool`."""
        return any(pool in active.placed.values() for active in self._active.values())

    def cancel(self, batch: BatchId) -> bool:
        """Cancel a job for its caller; return whether it was active here."""
        active = self._active.get(batch)
        if active is None:
            return False
        cancelled = BatchResult(BatchOutcome.CANCELLED, GiveUpReason.CANCELLED)
        self._end(active, cancelled)
        return True

    async def watch_unreachable(self) -> None:
        """End jobs whose tasks are at pools that stay unreachable, until cancelled."""
        while True:
            if not self._active:
                self._unreachable_since.clear()
                self._job_added = anyio.Event()
                await self._job_added.wait()
            await self._clock.sleep(self._timing.tick)
            self.end_unreachable(self._clock.monotonic())

    def end_unreachable(self, now: timedelta) -> None:
        """End jobs with tasks at pools unreachable for `lost_pool_timeout`.

        The tasks may keep running there for a while, so they are not sent elsewhere and
        the job is not reported as not run. By the time that a caller submits the job
        again, the last of them must have ended.
        """
        reachable = self._pools.reachable()
        for active in list(self._active.values()):
            for pool in set(active.placed.values()):
                if pool in reachable:
                    self._unreachable_since.pop(pool, None)
                    continue
                since = self._unreachable_since.setdefault(pool, now)
                if now - since >= self._timing.lost_pool_timeout:
                    lost = BatchResult(BatchOutcome.UNKNOWN, GiveUpReason.POOL_LOST)
                    self._end(active, lost)
                    break

    def end_all_jobs(self) -> None:
        """End every job with an unknown outcome, because this host stops.

        A suspended host does the same when it resumes, as owners did not wait for it.
        """
        for active in list(self._active.values()):
            self._end(active, BatchResult(BatchOutcome.UNKNOWN, GiveUpReason.STOPPING))

    def _end(self, active: ActiveBatch, result: BatchResult) -> None:
        if active.result is not None:
            return
        active.result = result
        self._active.pop(active.batch.id, None)
        for pool in sorted(set(active.placed.values())):
            self._pools.send(pool, StopTasks(batch=active.batch.id))
        took = self._clock.monotonic() - active.submitted_at
        self._events.answered(active, result, took)
        active.ended.set()


def critical_path(batch: Batch) -> timedelta:
    """Return the estimated duration of the longest chain of dependent steps."""
    path_lengths: list[timedelta] = []
    for step in batch.steps:
        start = max((path_lengths[n] for n in step.after), default=timedelta(0))
        path_lengths.append(start + step.estimate)
    return max(path_lengths, default=timedelta(0))


def _work(batch: Batch) -> float:
    """Return the estimated work of `batch` in core seconds."""
    return sum(
        step.count * step.estimate.total_seconds() * step.needs.cpu_millis / 1_000
        for step in batch.steps
    )


__all__ = ["Coordinator", "critical_path"]
