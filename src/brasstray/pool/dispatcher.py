"""Start a pool's waiting tasks on minions with free capacity."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import RunNumber
from brasstray.pool.placement import choose_minion, urgency
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.pool_task import TaskPhase
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.start_limit import StartLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.pool.durations import Durations
    from brasstray.pool.load_sharing import LoadSharing
    from brasstray.pool.minion import Minion
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.roster import Roster
    from brasstray.pool.step_tasks import StepTasks
    from brasstray.pool.task_registry import TaskRegistry
    from brasstray.pool.timing import PoolTiming

# How long a computed load is reused: at most the interval between load reports to other
# pools.
LOAD_CACHE_TTL = timedelta(milliseconds=10)


class Dispatcher:
    """Start waiting tasks after all pending input has been processed.

    Requests and run ends arrive in bursts. Going through the whole queue after each of
    them took most of an overloaded owner's processor time.

    `may_start` returns whether starts are allowed yet. While `evacuated` returns true,
    all waiting tasks are moved to other pools, whatever they wait for: a new request, a
    claim, a failed run or a stopped straggler.
    """

    def __init__(
        self,
        tasks: TaskRegistry,
        roster: Roster,
        durations: Durations,
        sharing: LoadSharing,
        clock: Clock,
        timing: PoolTiming,
        events: OwnerEvents,
        may_start: Callable[[], bool],
        evacuated: Callable[[], bool],
    ) -> None:
        self._tasks = tasks
        self._roster = roster
        self._start_limit = StartLimit(roster, timing)
        self._durations = durations
        self._sharing = sharing
        self._clock = clock
        self._events = events
        self._may_start = may_start
        self._evacuated = evacuated
        self._wake = anyio.Event()
        self._changed = anyio.Event()
        self._review_due = False
        self._load = PoolLoad()
        self._load_valid_until = timedelta(0)

    def load(self) -> PoolLoad:
        """Return the free slots and the expected wait of a new task."""
        now = self._clock.monotonic()
        if now >= self._load_valid_until:
            self._load = self._sharing.load()
            self._load_valid_until = now + LOAD_CACHE_TTL
        return self._load

    def wake(self) -> None:
        """Schedule a dispatch, as capacity may have become free."""
        self._wake.set()
        self._changed.set()

    def review(self) -> None:
        """Schedule a dispatch that also forwards or rejects tasks that have to wait."""
        self._review_due = True
        self.wake()

    def close(self) -> None:
        """Release all callers of `wait_for_change`."""
        self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the load may have changed since the last call."""
        await self._changed.wait()
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Dispatch after each wake-up, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._may_start():
                self._dispatch()

    def _dispatch(self) -> None:
        waiting = [step for step in self._tasks.steps if step.waiting]
        if not waiting:
            return
        now = self._clock.monotonic()
        if self._evacuated():
            self._sharing.evacuate(waiting, now)
            return
        min_cpu_millis = min(step.needs.cpu_millis for step in waiting)
        minions = [
            minion
            for minion in self._roster.minions
            if minion.free_cpu_millis >= min_cpu_millis and minion.usable(now)
        ]
        # Sorting a long queue after every run end while nothing can start would
        # saturate an overloaded owner.
        if not minions and not self._review_due:
            return
        waiting.sort(
            key=lambda step: urgency(
                step, self._durations.expected(step, None, ()), now
            )
        )
        for step in waiting:
            self._start_tasks(step, minions, now)
        if self._review_due:
            self._review_due = False
            self._sharing.forward_or_reject(
                [step for step in waiting if step.waiting], now
            )

    def _start_tasks(
        self, step: StepTasks, minions: list[Minion], now: timedelta
    ) -> None:
        minions = self._start_limit.allowed(step, minions, now)
        while step.waiting:
            task = step.waiting[0]
            minion = choose_minion(task, minions, self._durations, now)
            if minion is None:
                return
            step.waiting.pop(0)
            self._place(task, minion, now)

    def _place(self, task: PoolTask, minion: Minion, now: timedelta) -> None:
        step, entry = task.parent_step, minion.entry
        task.phase = TaskPhase.PLACED
        task.last_run = RunNumber(task.last_run + 1)
        expected = self._durations.expected(step, entry.key, entry.labels)
        record = RunRecord(
            task.name,
            task.last_run,
            step.needs,
            now,
            expected,
            RunState.STARTING,
            task,
            cold=minion.is_cold(now),
        )
        step.begun = True
        minion.add(record)
        self._events.started(minion, record, now - step.arrived)
        self._roster.session(entry.id).start(record, step.spec)


__all__ = ["Dispatcher"]
