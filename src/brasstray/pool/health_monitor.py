"""Monitor minions by the progress and the ends of their runs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.long_share import LongShare
from brasstray.pool.minion import Reachability
from brasstray.pool.minion_health import Evidence
from brasstray.pool.neighbours import neighbours_of
from brasstray.pool.run_record import RunState
from brasstray.pool.run_verdict import RunVerdict
from brasstray.pool.straggling import (
    MAX_SLOWDOWN_VS_SIBLINGS,
    SIBLINGS_TIMEOUT,
    judge,
    slowdown,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.pool.minion import Minion
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.run_record import RunRecord

# A task that has failed on this many minions is itself at fault.
FAILED_MINIONS_TO_BLAME_TASK = 2


# A shorter silence is a few lost replies, and the minion's runs continue.
MIN_SILENCE_TO_SUSPEND = timedelta(milliseconds=300)
# If at least this share of a pool's minions is silent at once, the likely cause is the
# owner's own link to them. They then return within SHARED_OUTAGE_WINDOW of one another.
SHARED_OUTAGE_FRACTION = 0.5
SHARED_OUTAGE_WINDOW = timedelta(seconds=1)


class HealthMonitor:
    """Suspend minions on evidence, and decide which runs to stop as stragglers."""

    def __init__(
        self, minions: Callable[[], list[Minion]], events: OwnerEvents
    ) -> None:
        self._minions = minions
        self._events = events
        self._recent_returns: list[timedelta] = []
        self._long_share = LongShare()

    def should_stop(self, minion: Minion, record: RunRecord, now: timedelta) -> bool:
        """Return whether a run is so slow that its task is better run elsewhere.

        The minion is then avoided by that task, and suspected unless its other runs go
        on as usual and none of them was stuck lately.
        """
        task = record.task
        if task is None or record.state is not RunState.ACTIVE or not record.expected:
            return False
        if minion.is_cold(now):
            # The minion has announced that it is slow. Stopping its runs would waste
            # their work, and minions suspended for it would be missing when a data
            # centre comes back cold.
            return False
        step, minion_key = task.parent_step, minion.entry.key
        siblings = step.best_slowdown_elsewhere(minion_key)
        step.slowdowns[minion_key] = slowdown(record, now)
        if siblings is None and self._awaiting_siblings(record, now):
            return False
        # A task is restarted as a straggler only once: if it is as slow elsewhere, it
        # is the task that is long and not the minions that are slow.
        if task.straggled:
            return False
        neighbours = neighbours_of(record, minion, now)
        verdict = judge(record, now, siblings, neighbours, self._long_share.value)
        match verdict:
            case RunVerdict.USUAL:
                return False
            case RunVerdict.LONG_TASK:
                self._note_long(minion, record, certain=neighbours.usual)
                return False
        task.straggled = True
        task.avoided.add(minion_key)
        self._events.straggler_stopped(minion, record, verdict)
        hangs = verdict is RunVerdict.STUCK and minion.health.record_stuck(
            task.name.batch, now
        )
        # One run that is stuck beside others that go on may be its own fault.
        if neighbours.usual and not hangs:
            return True
        minion.health.found_slow |= not neighbours.usual
        if not minion.health.suspected:
            minion.health.suspend(now)
            self._events.suspected(minion, Evidence.STRAGGLING)
        return True

    def _note_long(self, minion: Minion, record: RunRecord, *, certain: bool) -> None:
        if record.long_task:
            return
        record.long_task = True
        if certain:
            self._long_share.record(long=True)
        self._events.long_task(minion, record)

    def _awaiting_siblings(self, record: RunRecord, now: timedelta) -> bool:
        """Return whether tasks of the same step elsewhere will soon show progress."""
        if now - record.began > SIBLINGS_TIMEOUT:
            return False
        assert record.task is not None
        if len(record.task.parent_step.tasks) < 2:
            return False
        return sum(m.has_task_of(record.task.parent_step) for m in self._minions()) > 1

    def record_done(self, minion: Minion, record: RunRecord, now: timedelta) -> None:
        """Record that a run on `minion` ended well."""
        if minion.health.record_success():
            self._events.trusted(minion)
        if not record.expected or record.cold:
            return
        usual = now - record.began <= record.expected * MAX_SLOWDOWN_VS_SIBLINGS
        if usual:
            minion.health.usual_run_ended = now
            minion.health.found_slow = False
        if record.task is not None and record.task.straggled:
            # The second run shows whether the first one was slow for its minion.
            self._long_share.record(long=not usual)

    def record_failed(self, minion: Minion, task: PoolTask, now: timedelta) -> None:
        """Record that a run of `task` failed on `minion`."""
        if minion.health.record_failure(task.name.batch, now):
            self._events.suspected(minion, Evidence.FAILURES)
        task.failures += 1
        task.avoided.add(minion.entry.key)

    def record_unhealthy(self, minion: Minion, now: timedelta) -> None:
        """Record that `minion` reports that it cannot run tasks."""
        minion.health.suspend(now)
        self._events.suspected(minion, Evidence.UNHEALTHY)

    def record_return(self, minion: Minion, silent: timedelta, now: timedelta) -> None:
        """Record that `minion` answers again after it was silent for `silent`.

        On a minion with an intermittent connection, the next tasks would be unreachable
        again, and the outcome of unanswered calls is unknown for seconds. It is tried
        again with a growing backoff.
        """
        if silent < MIN_SILENCE_TO_SUSPEND:
            return
        self._recent_returns = [
            at for at in self._recent_returns if now - at < SHARED_OUTAGE_WINDOW
        ]
        minions = self._minions()
        unreachable = sum(one.reach is Reachability.UNREACHABLE for one in minions)
        affected = unreachable + len(self._recent_returns)
        self._recent_returns.append(now)
        if affected >= SHARED_OUTAGE_FRACTION * len(minions):
            return
        minion.health.suspend(now)
        self._events.suspected(minion, Evidence.SILENCE)

    def record_failed_everywhere(self, task: PoolTask) -> None:
        """Discard the failures of a task that failed for good on several minions."""
        failed_on = [m for m in self._minions() if m.entry.key in task.avoided]
        if len(failed_on) < FAILED_MINIONS_TO_BLAME_TASK:
            return
        for minion in failed_on:
            if minion.health.discard_failures(task.name.batch):
                self._events.trusted(minion)


__all__ = ["HealthMonitor"]
