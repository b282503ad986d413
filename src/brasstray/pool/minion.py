"""Track one minion: its free capacity, its runs and its health."""

from __future__ import annotations

from collections import Counter, deque
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from brasstray.batch.resources import Resources
from brasstray.clock.bounded import bounded_ms
from brasstray.pool.minion_health import MinionHealth
from brasstray.pool.pool_task import TaskPhase

if TYPE_CHECKING:
    from brasstray.batch.ids import RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.pool_task import PoolTask
    from brasstray.pool.run_record import RunRecord
    from brasstray.pool.step_tasks import StepTasks


# Replies arrive only a few places out of order, and a minion has a few dozen runs at
# most.
MAX_REMEMBERED_ENDS = 64


class Reachability(Enum):
    """List the states of a minion as its owner sees it.

    UNPROBED: not fenced yet, so it still carries out calls of a previous owner.
    """

    UNPROBED = "unprobed"
    LEASED = "leased"
    UNREACHABLE = "unreachable"
    GONE = "gone"


class Minion:
    """Hold the entry of a minion and every run that may use its resources.

    A run counts against the capacity from before its start is sent until its end is
    listed, or until it is certain that it will not begin. Otherwise a minion that does
    not enforce its capacity would be overcommitted while a call is in flight.
    """

    def __init__(self, entry: MinionEntry) -> None:
        self.entry = entry
        self.reach = Reachability.UNPROBED
        self.health = MinionHealth()
        self.runs: dict[tuple[TaskName, RunNumber], RunRecord] = {}
        self._run_counts: Counter[TaskName] = Counter()
        self._described = True
        self._cold_until = timedelta(0)
        self._stops_done_by = timedelta(0)
        self._used = Resources()
        self._unsized_count = 0
        self._ended_runs: deque[tuple[TaskName, RunNumber]] = deque(
            maxlen=MAX_REMEMBERED_ENDS
        )

    def update_entry(self, entry: MinionEntry, now: timedelta) -> None:
        """Replace the entry with the one read at `now`."""
        self.entry = entry
        self._described = True
        self._cold_until = now + bounded_ms(entry.cold_left_ms)

    def await_entry(self) -> None:
        """Start nothing here until an entry is read.

        The present one describes an earlier incarnation, which may have had more
        capacity or other labels.
        """
        self._described = False

    def is_cold(self, now: timedelta) -> bool:
        """Return whether the minion is still warming up after its start."""
        return now < self._cold_until

    def fence(self, stops_done_by: timedelta) -> None:
        """Record that the minion has seen the token of its owner.

        Runs that a previous owner was stopping at that time have ended by
        `stops_done_by`.
        """
        self._stops_done_by = stops_done_by

    def runs_known(self, now: timedelta) -> bool:
        """Return whether all runs that may be active here are known at `now`.

        A run that was being stopped during the failover is no longer listed as active,
        and its end is not listed yet. A second run of its task could start beside it.
        """
        if self.reach is Reachability.GONE:
            return True
        return self.reach is not Reachability.UNPROBED and now >= self._stops_done_by

    @property
    def free_capacity(self) -> Resources:
        """Return the free capacity."""
        return self.entry.capacity - self._used

    @property
    def free_cpu_millis(self) -> int:
        """Return the free CPU alone, which suffices for most placement checks."""
        return self.entry.capacity.cpu_millis - self._used.cpu_millis

    @property
    def has_unsized_runs(self) -> bool:
        """Return whether runs of a previous owner are here whose size is unknown.

        They use capacity until their end is listed, also while they are being stopped.
        """
        return self._unsized_count > 0

    def has_run_of(self, name: TaskName) -> bool:
        """Return whether a run of the task called `name` is here."""
        return name in self._run_counts

    def has_task_of(self, step: StepTasks) -> bool:
        """Return whether a run of a wanted task of `step` is here."""
        return any(
            record.task is not None and record.task.parent_step is step
            for record in self.runs.values()
        )

    def runs_of(self, step: StepTasks) -> int:
        """Return how many runs of tasks of `step` are here, wanted or not."""
        return sum(
            name.batch == step.batch and name.step == step.step for name, _ in self.runs
        )

    def add(self, record: RunRecord) -> None:
        """Count `record` against the capacity."""
        self.runs[record.name, record.run] = record
        self._run_counts[record.name] += 1
        self._used = self._used + record.needs
        self._unsized_count += not record.size_known

    def adopt(self, record: RunRecord, task: PoolTask) -> None:
        """Make a run that is already here the run of `task`."""
        record.task = task
        self.resize(record, task.parent_step.needs)
        task.phase = TaskPhase.PLACED
        task.last_run = max(task.last_run, record.run)
        task.parent_step.begun = True

    @property
    def has_tasks(self) -> bool:
        """Return whether a run here belongs to a task that this owner knows."""
        return any(record.task is not None for record in self.runs.values())

    @property
    def oldest_contact(self) -> timedelta:
        """Return the earliest last contact with the coordinator of any run here."""
        return min(record.last_contact for record in self.runs.values())

    def has_ended(self, name: TaskName, run: RunNumber) -> bool:
        """Return whether the end of a run on this minion has been recorded."""
        return (name, run) in self._ended_runs

    def resize(self, record: RunRecord, needs: Resources) -> None:
        """Count `record` with the resources `needs` from now on."""
        self._used = self._used - record.needs + needs
        self._unsized_count -= not record.size_known
        record.needs = needs
        record.size_known = True

    def remove(self, record: RunRecord) -> bool:
        """Free the resources of an ended run; return whether it still counted."""
        if not self.release(record):
            return False
        self._ended_runs.append((record.name, record.run))
        return True

    def release(self, record: RunRecord) -> bool:
        """Free the resources of a run whose lease should have expired.

        Return whether it still counted. Its end was not reported, so it counts again if
        the minion becomes reachable and lists it as active.
        """
        if self.runs.pop((record.name, record.run), None) is None:
            return False
        self._run_counts[record.name] -= 1
        if not self._run_counts[record.name]:
            del self._run_counts[record.name]
        self._used = self._used - record.needs
        self._unsized_count -= not record.size_known
        return True

    def usable(self, now: timedelta) -> bool:
        """Return whether a new task may start here at `now`."""
        if (
            self.reach is not Reachability.LEASED
            or self.entry.draining
            or not self._described
            or self.has_unsized_runs
        ):
            return False
        if not self.runs_known(now):
            return False
        limit = self.health.max_runs(now)
        return limit is None or len(self.runs) < limit


__all__ = ["Minion", "Reachability"]
