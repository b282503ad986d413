"""Start a pool's waiting tasks on minions with free capacity."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import RunNumber
from brasstray.pool.outlook import Outlook
from brasstray.pool.placement import choose_minion
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.pool_task import TaskPhase
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.start_limit import StartLimit
from brasstray.pool.step_error import StepError, attributed_to

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
# Reviews take at most a quarter of the owner's time, as ends of runs must not wait for
# them; but a job waits at most this long for one.
PAUSE_PER_REVIEW = 3
MAX_PAUSE = timedelta(milliseconds=50)


# How many starts may be without a response. Each more would open a connection, and an
# owner that reads responses too late settles starts by further calls. The dispatch goes
# on when half of them have one, as each goes through the whole queue.
MAX_STARTS_IN_FLIGHT = 128


class Dispatcher:
    """Start waiting tasks after all pending input has been processed.

    Requests and run ends arrive in bursts. Going through the whole queue after each of
    them took most of an overloaded owner's processor time.

    `may_start` returns whether starts are allowed yet. While `evacuated` returns true,
    all waiting tasks are moved to other pools, whatever they wait for: a new request, a
    claim, a failed run or a stopped straggler. `fail_step` ends a step whose handling
    raised an error.
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
        fail_step: Callable[[StepError], None],
    ) -> None:
        self._fail_step = fail_step
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
        self._next_review = timedelta(0)
        self._starts_in_flight = 0
        self._outlook: tuple[list[Minion], Outlook] | None = None
        self._load = PoolLoad()
        self._load_valid_until = timedelta(0)

    def load(self) -> PoolLoad:
        """Return the free slots and the expected wait of a new task."""
        now = self._clock.monotonic()
        if now >= self._load_valid_until:
            self._load = self._read_load()
            self._load_valid_until = now + LOAD_CACHE_TTL
        return self._load

    def _read_load(self) -> PoolLoad:
        try:
            return self._sharing.load()
        except StepError as error:
            self._fail_step(error)
            return PoolLoad()

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
            if not self._may_start():
                continue
            try:
                self._dispatch()
            except StepError as error:
                self._fail_step(error)
                self.wake()

    def _dispatch(self) -> None:
        now = self._clock.monotonic()
        # The caller of an expired step may submit its job to another data centre. Its
        # coordinator drops the step here.
        waiting = [s for s in self._tasks.steps if s.waiting and s.limit > now]
        if not waiting:
            return
        if self._evacuated():
            self._sharing.evacuate(waiting, now)
            return
        min_cpu_millis = min(step.needs.cpu_millis for step in waiting)
        minions = [
            minion
            for minion in self._roster.minions
            if minion.free_cpu_millis >= min_cpu_millis and minion.usable(now)
        ]
        # The owner's periodic check makes up for a review that is put off.
        review = self._review_due and now >= self._next_review
        # Sorting a long queue after every run end while nothing can start would
        # saturate an overloaded owner.
        if not minions and not review:
            return
        waiting = self._sharing.plan.order(waiting, now)
        for step in waiting:
            with attributed_to(step):
                self._start_tasks(step, minions, now)
        if review:
            self._review_due = False
            self._sharing.forward_or_reject(
                [step for step in waiting if step.waiting], now
            )
            end = self._clock.monotonic()
            self._next_review = end + min(MAX_PAUSE, PAUSE_PER_REVIEW * (end - now))

    def _start_tasks(
        self, step: StepTasks, minions: list[Minion], now: timedelta
    ) -> None:
        outlook = self._outlook_for(minions, now)
        minions = self._start_limit.allowed(step, minions, now)
        awaiting = []
        while step.waiting and self._starts_in_flight < MAX_STARTS_IN_FLIGHT:
            task, reserved = step.waiting[0], outlook.reservations
            minion = choose_minion(task, minions, self._durations, now, outlook)
            if minion is None and outlook.reservations == reserved:
                break
            step.waiting.pop(0)
            if minion is None:
                # The next task may still be started: this one awaits a better minion.
                awaiting.append(task)
            else:
                self._place(task, minion, now)
        step.waiting[:0] = awaiting

    def _outlook_for(self, minions: list[Minion], now: timedelta) -> Outlook:
        """Return the outlook of this dispatch, whose steps share it and `minions`."""
        if self._outlook is None or self._outlook[0] is not minions:
            outlook = Outlook(self._roster.minions, self._durations, now)
            self._outlook = minions, outlook
        return self._outlook[1]

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
        self._sharing.record_start(step, expected)
        minion.add(record)
        self._events.started(minion, record, now - step.arrived)
        self._starts_in_flight += 1
        self._roster.session(entry.id).start(record, step.spec)

    def settle_start(self) -> None:
        """Record that a start has a response, or has none in time."""
        self._starts_in_flight -= 1
        if self._starts_in_flight == MAX_STARTS_IN_FLIGHT // 2:
            self.wake()


__all__ = ["Dispatcher"]
