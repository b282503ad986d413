"""Simulate a minion that runs tasks under leases and fencing tokens."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import FencingToken, RunNumber
from brasstray.batch.resources import Resources
from brasstray.pool.errors import (
    FencedError,
    MinionGoneError,
    StartRefusal,
    StartRefusedError,
)
from brasstray.pool.probe_reply import ActiveRun, EndedRun, ProbeReply, RunEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.pool.minion_entry import MinionEntry

_MILLISECOND = timedelta(milliseconds=1)
MAX_LEASE = timedelta(seconds=1)
STOP_DURATION = timedelta(milliseconds=50)


@dataclass
class SimulatedRun:
    """Hold a run, its remaining work at `updated_at`, and how it will end."""

    task: TaskName
    run: RunNumber
    needs: Resources
    work: timedelta
    remaining: timedelta
    updated_at: timedelta
    began: timedelta
    fails: bool
    stopped_at: timedelta | None = None


@dataclass(frozen=True)
class Work:
    """Describe the resources that a task needs and how long it runs."""

    needs: Resources
    duration: timedelta
    fails: bool = False


@dataclass(frozen=True)
class RecordedStart:
    """Record which task started on which minion, and when."""

    task: TaskName
    minion: MinionEntry
    at: timedelta


@dataclass(frozen=True)
class RecordedEnd:
    """Record how long a run used its minion, and whether its work was lost."""

    minion: MinionEntry
    took: timedelta
    stopped: bool


@dataclass
class RunRecorder:
    """Record the runs of all minions, to detect violated guarantees.

    `broken` lists the violations as messages. `work_by_task` holds the work of
    individual tasks; `default_work` applies to all others.
    """

    default_work: Work
    work_by_task: dict[TaskName, Work] = field(default_factory=dict)
    active: dict[TaskName, list[str]] = field(default_factory=dict)
    recorded_starts: list[RecordedStart] = field(default_factory=list)
    recorded_ends: list[RecordedEnd] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    @property
    def starts(self) -> list[TaskName]:
        """Return the started tasks, in order."""
        return [start.task for start in self.recorded_starts]

    def work(self, task: TaskName) -> Work:
        """Return the resources and duration of `task`."""
        return self.work_by_task.get(task, self.default_work)


class LeasedMinion:
    """Simulate tasks by the clock, and obey leases, fencing and run numbers.

    A start beyond the minion's capacity is accepted and recorded as a violation. The
    minion's own clock, by which leases expire, runs at `clock_rate` times the true one.
    """

    def __init__(
        self,
        entry: MinionEntry,
        clock: Clock,
        recorder: RunRecorder,
        clock_offset_ms: int = 1_000,
        clock_rate: float = 1.0,
    ) -> None:
        self.entry = entry
        self.slowdown = 1.0
        self.stuck = False
        self.failing = False
        self.alive = True
        self.says_born = True
        self._clock = clock
        self._recorder = recorder
        self._clock_offset_ms = clock_offset_ms
        self._clock_rate = clock_rate
        self._token = FencingToken(0)
        self._lease_until_ms = 0
        self._runs: dict[TaskName, SimulatedRun] = {}
        self._highest_run: dict[TaskName, RunNumber] = {}
        self._ends: list[EndedRun] = []
        self._end_count = 0
        self._run_ended = anyio.Event()
        self._rejected_below = FencingToken(0)
        self._rejected_runs: dict[TaskName, RunNumber] = {}

    @property
    def clock_ms(self) -> int:
        """Return the time of this minion's own clock."""
        return (
            self._clock_offset_ms
            + self._clock.monotonic() * self._clock_rate // _MILLISECOND
        )

    @property
    def running(self) -> set[TaskName]:
        """Return the tasks that have an active run."""
        return set(self._runs)

    @property
    def runs(self) -> list[SimulatedRun]:
        """Return the active runs, which tests may modify."""
        return list(self._runs.values())

    def crash(self) -> None:
        """End all runs and stop responding."""
        self.alive = False
        for run in list(self._runs.values()):
            self._remove_run(run)

    def restart(self, born: int, clock_offset_ms: int = 0) -> None:
        """Start again under the same id, and hold and know nothing of before.

        An order that this incarnation has rejected, by a stop or a higher token, is not
        carried out by a later one; any other that is delayed may be.
        """
        self.crash()
        self._rejected_below = max(self._rejected_below, self._token)
        for task, run in self._highest_run.items():
            before = self._rejected_runs.get(task, RunNumber(0))
            self._rejected_runs[task] = max(before, run)
        self.entry = replace(self.entry, born=born)
        self._token = FencingToken(0)
        self._lease_until_ms = 0
        self._highest_run = {}
        self._ends = []
        self._end_count = 0
        self._clock_offset_ms = (
            clock_offset_ms - self._clock.monotonic() // _MILLISECOND
        )
        self.alive = True

    def rejected_earlier(self, token: FencingToken, task: TaskName, run: int) -> bool:
        """Return whether an earlier incarnation had rejected this order."""
        if token < self._rejected_below:
            return True
        return run <= self._rejected_runs.get(task, RunNumber(0))

    def tick(self) -> None:
        """Advance all runs; end those that are finished or whose lease has expired."""
        now = self._clock.monotonic()
        expired = self.clock_ms >= self._lease_until_ms
        for run in list(self._runs.values()):
            if run.stopped_at is not None:
                if now - run.stopped_at >= STOP_DURATION:
                    self._end(run, RunEnd.STOPPED)
                continue
            if not self.stuck:
                run.remaining -= (now - run.updated_at) / self.slowdown
            run.updated_at = now
            if run.remaining <= timedelta(0):
                self._end(run, RunEnd.FAILED if run.fails else RunEnd.DONE)
            elif expired:
                self._end(run, RunEnd.EXPIRED)

    def _end(self, run: SimulatedRun, end: RunEnd) -> None:
        self._remove_run(run)
        took = self._clock.monotonic() - run.began
        self._recorder.recorded_ends.append(
            RecordedEnd(self.entry, took, end is not RunEnd.DONE)
        )
        self._end_count += 1
        self._ends.append(EndedRun(self._end_count, run.task, run.run, end))
        self._run_ended.set()

    def _remove_run(self, run: SimulatedRun) -> None:
        del self._runs[run.task]
        self._recorder.active[run.task].remove(str(self.entry.id))

    def _check_caller(self, entry: MinionEntry, token: FencingToken) -> None:
        if entry.id != self.entry.id:
            raise MinionGoneError(str(entry.id))
        if token < self._token:
            raise FencedError(str(token))
        self._token = token

    def _extend_lease(self, until_ms: int) -> None:
        latest_ms = self.clock_ms + MAX_LEASE // _MILLISECOND
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))

    async def hold(
        self,
        entry: MinionEntry,
        token: FencingToken,
        acknowledged: int,
        until_ms: int | None,
        wait: timedelta,
    ) -> ProbeReply:
        """Extend the lease, and report all runs once one ends or `wait` has passed."""
        self._check_caller(entry, token)
        if until_ms is not None:
            self._extend_lease(until_ms)
        self._ends = [end for end in self._ends if end.number > acknowledged]
        if not self._ends and wait:
            self._run_ended = anyio.Event()
            with anyio.move_on_after(wait.total_seconds()):
                await self._run_ended.wait()
        active = tuple(
            ActiveRun(run.task, run.run, round(100 * (1 - run.remaining / run.work)))
            for run in self._runs.values()
            if run.stopped_at is None
        )
        born = self.entry.born if self.says_born else None
        return ProbeReply(self.clock_ms, active, tuple(self._ends), born)

    def start(
        self,
        entry: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        until_ms: int,
    ) -> int:
        """Start a run; record a violation if another run of the task is active."""
        self._check_caller(entry, token)
        if self._runs.get(task) and self._runs[task].run == run:
            return self.clock_ms
        if run <= self._highest_run.get(task, 0):
            raise StartRefusedError(StartRefusal.STALE_RUN)
        self._extend_lease(until_ms)
        if self.clock_ms >= self._lease_until_ms:
            raise StartRefusedError(StartRefusal.LEASE_PASSED)
        self._highest_run[task] = run
        work = self._recorder.work(task)
        others = self._recorder.active.setdefault(task, [])
        if others:
            self._recorder.broken.append(f"{task} on {self.entry.id} and {others}")
        others.append(str(self.entry.id))
        now = self._clock.monotonic()
        self._recorder.recorded_starts.append(RecordedStart(task, self.entry, now))
        self._runs[task] = SimulatedRun(
            task,
            run,
            work.needs,
            work.duration,
            work.duration,
            now,
            now,
            work.fails or self.failing,
        )
        self._check_capacity()
        return self.clock_ms

    def _check_capacity(self) -> None:
        used = Resources()
        for run in self._runs.values():
            used = used + run.needs
        if not used.fits(self.entry.capacity):
            self._recorder.broken.append(f"{self.entry.id} is over its capacity")

    def stop(
        self,
        entry: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
    ) -> None:
        """Stop a run, and refuse its start if that arrives later.

        A stopping run is no longer reported as active, but still uses its resources.
        """
        self._check_caller(entry, token)
        self._highest_run[task] = max(run, self._highest_run.get(task, RunNumber(0)))
        active_run = self._runs.get(task)
        if active_run is not None and active_run.run <= run:
            active_run.stopped_at = active_run.stopped_at or self._clock.monotonic()


async def tick_all(
    minions: Callable[[], list[LeasedMinion]], clock: Clock, interval: timedelta
) -> None:
    """Advance the runs of `minions` at every `interval` until cancelled."""
    while True:
        await clock.sleep(interval)
        for minion in minions():
            minion.tick()


__all__ = [
    "LeasedMinion",
    "RecordedEnd",
    "RecordedStart",
    "RunRecorder",
    "SimulatedRun",
    "Work",
    "tick_all",
]
