"""Track the runs on the minions of a pool from start to end."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.batch.ids import RunNumber
from brasstray.batch.resources import Resources
from brasstray.pool.errors import StartRefusal
from brasstray.pool.pool_task import TaskPhase
from brasstray.pool.probe_reply import RunEnd
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.timing import PoolTiming

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from brasstray.batch.task_name import TaskName
    from brasstray.clock.clock import Clock
    from brasstray.pool.durations import Durations
    from brasstray.pool.health_monitor import HealthMonitor
    from brasstray.pool.minion import Minion
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.probe_reply import ActiveRun, EndedRun
    from brasstray.pool.task_registry import TaskRegistry

# The run numbers of a task must increase, also for an owner that does not know the
# earlier ones. After a refusal for a stale number, it continues this much higher.
RUN_NUMBER_SKIP = 1_000


class RunTracker:
    """Update the tasks from the reports of minions.

    A task whose run has ended without a result is queued for another start.
    `claims_closed` returns whether orphaned runs are to be stopped, and `stop` stops a
    run. `inherited_contact` is the earliest last contact with the coordinator of a run
    that this owner finds. `stop_time` is how long a run that is being stopped may be
    listed neither as active nor as ended.
    """

    def __init__(
        self,
        tasks: TaskRegistry,
        monitor: HealthMonitor,
        durations: Durations,
        clock: Clock,
        events: OwnerEvents,
        claims_closed: Callable[[], bool],
        stop: Callable[[Minion, RunRecord], None],
        inherited_contact: timedelta = timedelta(0),
        stop_time: timedelta = PoolTiming.stop_time,
    ) -> None:
        self._tasks = tasks
        self._health_monitor = monitor
        self._durations = durations
        self._clock = clock
        self._events = events
        self._inherited_contact = inherited_contact
        self._claims_closed = claims_closed
        self._stop = stop
        self._stop_time = stop_time

    def apply_report(
        self,
        minion: Minion,
        active: tuple[ActiveRun, ...],
        ended: tuple[EndedRun, ...],
        sent: timedelta | None = None,
    ) -> bool:
        """Apply a report of `minion` on its runs; return whether any has ended.

        `sent` is when it was requested, or None if it may leave out runs.
        """
        any_ended = bool(ended)
        for end in ended:
            record = minion.runs.get((end.task, end.run))
            if record is None:
                self._record_unclaimed_end(end.task, end.end)
            else:
                self._apply_end(minion, record, end.end)
        for run in active:
            self._apply_active(minion, run)
        now = self._clock.monotonic()
        if sent is not None:
            any_ended |= self._give_up_lost(minion, active, sent, now)
        for record in list(minion.runs.values()):
            if record.missing_since is not None:
                continue
            if self._health_monitor.should_stop(minion, record, now):
                # The task is queued only once the end is listed, so that it never runs
                # twice.
                self._stop(minion, record)
        return any_ended

    def _apply_active(self, minion: Minion, run: ActiveRun) -> None:
        record = minion.runs.get((run.task, run.run))
        if record is not None:
            record.report(run.percent, self._clock.monotonic())
            if record.state in (RunState.STARTING, RunState.OUTCOME_UNKNOWN):
                record.state = RunState.ACTIVE
        elif not minion.has_ended(run.task, run.run):
            self._add_unknown_run(minion, run)

    def _add_unknown_run(self, minion: Minion, run: ActiveRun) -> None:
        """Add a run that this owner did not start, or had recorded as ended.

        It becomes the run of its task unless the task has another. A waiting task
        adopts it as well, since the task could start elsewhere while the run was being
        stopped. An orphaned run is stopped once claims are closed.
        """
        now = self._clock.monotonic()
        record = RunRecord(
            run.task,
            run.run,
            Resources(),
            now,
            timedelta(0),
            RunState.ACTIVE,
            None,
            size_known=False,
            orphan_contact=self._inherited_contact,
            reported=True,
            begun_by=now,
        )
        minion.add(record)
        task = self._tasks.find(run.task)
        self._events.run_found(minion, record, task.phase if task else None)
        if task is not None and task.phase is not TaskPhase.PLACED:
            self._tasks.unqueue(task)
            minion.adopt(record, task)
        elif self._claims_closed():
            self._stop(minion, record)

    def _give_up_lost(
        self,
        minion: Minion,
        active: tuple[ActiveRun, ...],
        sent: timedelta,
        now: timedelta,
    ) -> bool:
        """Give up the runs whose end cannot be read any more; return whether any was.

        A probe for an earlier incarnation of the minion, if carried out late, makes the
        present one forget ends that were never reported.
        """
        listed = {(run.task, run.run) for run in active}
        lost = [
            record
            for key, record in minion.runs.items()
            if key not in listed
            and record.must_be_listed(sent)
            and record.observe_missing(sent, now, self._stop_time)
        ]
        for record in lost:
            self._record_lost_end(minion, record)
        return bool(lost)

    def _record_lost_end(self, minion: Minion, record: RunRecord) -> None:
        # Released, not removed: it counts again should a report list it after all.
        minion.release(record)
        self._handle_end(minion, record, RunEnd.UNKNOWN)

    def _apply_end(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        minion.remove(record)
        if end is RunEnd.DONE:
            self._health_monitor.record_done(minion, record, self._clock.monotonic())
        self._handle_end(minion, record, end)

    def _handle_end(self, minion: Minion, record: RunRecord, end: RunEnd) -> None:
        self._events.ended(minion, record, end)
        task = record.task
        if task is None:
            self._record_unclaimed_end(record.name, end)
            return
        match end:
            case RunEnd.DONE:
                self._learn_duration(minion, record, task)
                self._tasks.finish(task, done=True)
            case RunEnd.FAILED:
                self._handle_failure(minion, task)
            case RunEnd.UNKNOWN:
                # The task may be done, so it is not started again.
                self._tasks.remember_end(task.name, end)
                self._tasks.give_up(task)
            case _:
                self._tasks.queue(task)

    def _learn_duration(
        self, minion: Minion, record: RunRecord, task: PoolTask
    ) -> None:
        if not record.expected or record.cold:
            # A run on a cold minion shows neither how long the queue's tasks take nor
            # how fast the minion is once it is warm.
            return
        minion_key = minion.entry.key
        took = self._clock.monotonic() - record.began
        task.parent_step.slowdowns[minion_key] = took / record.expected
        self._durations.learn(
            task.parent_step, minion_key, record.expected, took, minion.entry.labels
        )

    def _handle_failure(self, minion: Minion, task: PoolTask) -> None:
        self._health_monitor.record_failed(minion, task, self._clock.monotonic())
        if task.failures >= task.parent_step.attempts:
            self._health_monitor.record_failed_everywhere(task)
            self._tasks.finish(task, done=False)
        else:
            self._tasks.queue(task)

    def _record_unclaimed_end(self, name: TaskName, end: RunEnd) -> None:
        """Remember the end of a run without a task; finish a task that claims it."""
        self._tasks.remember_end(name, end)
        task = self._tasks.find(name)
        if task is None or task.phase is not TaskPhase.CLAIMED:
            return
        # Any other end concerns this run alone. A later run may be active on a minion
        # that has not been probed yet, which the recovery will find.
        if end is RunEnd.DONE:
            self._tasks.finish(task, done=True)

    def apply_refusal(
        self, minion: Minion, record: RunRecord, refusal: StartRefusal
    ) -> None:
        """Remove a run that `minion` has refused to start."""
        if not minion.remove(record):
            return
        self._events.refused(minion, record, refusal)
        if refusal is StartRefusal.UNHEALTHY:
            self._health_monitor.record_unhealthy(minion, self._clock.monotonic())
        task = record.task
        if task is None:
            return
        match refusal:
            case StartRefusal.STALE_RUN:
                task.last_run = RunNumber(task.last_run + RUN_NUMBER_SKIP)
            case StartRefusal.MALFORMED:
                task.failures += 1
                if task.failures >= task.parent_step.attempts:
                    self._tasks.finish(task, done=False)
                    return
            case _:
                task.avoided.add(minion.entry.key)
        self._tasks.queue(task)

    def record_stop_without_end(self, minion: Minion, record: RunRecord) -> None:
        """Record that a stopped run is listed neither as active nor as ended.

        It never ran, unless it is known to have begun.
        """
        if (record.name, record.run) not in minion.runs:
            return
        if record.begun_by is not None:
            self._record_lost_end(minion, record)
        elif minion.remove(record):
            self._events.ended(minion, record, RunEnd.STOPPED)
            if record.task is not None:
                self._tasks.queue(record.task)

    def give_up_all(self, minion: Minion) -> None:
        """Return all tasks on `minion` with an unknown outcome: they may run there."""
        for record in list(minion.runs.values()):
            minion.release(record)
            if record.task is not None:
                self._tasks.give_up(record.task)

    def expire(
        self, minion: Minion, keys: Container[tuple[TaskName, RunNumber]]
    ) -> list[RunRecord]:
        """Record that the runs in `keys` have ended on `minion`, and return them.

        Their leases have expired or their minion is gone, so no report will say so.
        """
        ended = [record for key, record in minion.runs.items() if key in keys]
        for record in ended:
            minion.release(record)
            self._handle_end(minion, record, _end_without_report(record))
        return ended

    def end_incarnation(
        self, before: Minion, after: Minion
    ) -> tuple[list[RunRecord], list[RunRecord]]:
        """End the runs of an incarnation that has been replaced.

        Return those that have ended, and those that may begin on the next one.

        Runs that it has reported have ended with it. The order for any other run may
        have reached the next incarnation, or may still, and its task waits until that
        one has answered a stop.
        """
        ended = []
        open_runs = []
        for record in list(before.runs.values()):
            before.release(record)
            if record.reported:
                ended.append(record)
                self._handle_end(before, record, _end_without_report(record))
            else:
                open_runs.append(record)
                record.move_to_next_incarnation()
                after.add(record)
        return ended, open_runs


def _end_without_report(record: RunRecord) -> RunEnd:
    """Return how a run ended whose minion will not report it any more.

    One that was missing in the last report had ended before its lease or its minion.
    """
    return RunEnd.EXPIRED if record.missing_since is None else RunEnd.UNKNOWN


__all__ = ["RunTracker"]
