"""Describe one run of a task on a minion."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from brasstray.pool.run_progress import RunProgress

if TYPE_CHECKING:
    from brasstray.batch.ids import RunNumber
    from brasstray.batch.resources import Resources
    from brasstray.batch.task_name import TaskName
    from brasstray.pool.pool_task import PoolTask


class RunState(Enum):
    """List what is known of the state of a run.

    OUTCOME_UNKNOWN: its start had no response, so it may begin at any time from now.
    """

    STARTING = "starting"
    ACTIVE = "active"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRecord:
    """Hold a run from before its start is sent until its end is known.

    `task` is None for a run of a previous owner that has not been claimed yet, and for
    one that is no longer wanted. `size_known` is false for a run of a previous owner
    until it is claimed, as only its requester knows what it uses. `cold` marks a run
    that began while its minion was warming up. `orphan_contact` is the last contact
    with the coordinator of a run without a task, or an earlier time. `reported` is
    whether the minion's present incarnation has listed the run as active. `begun_by` is
    when it was first known to have begun there, by a report or a response to its start,
    and `missing_since` when a later report listed it neither as active nor as ended.
    `long_task` marks a run whose task was recognised as long.
    """

    name: TaskName
    run: RunNumber
    needs: Resources
    began: timedelta
    expected: timedelta
    state: RunState
    task: PoolTask | None
    percent: int = 0
    size_known: bool = True
    cold: bool = False
    orphan_contact: timedelta = timedelta(0)
    reported: bool = False
    begun_by: timedelta | None = None
    missing_since: timedelta | None = None
    long_task: bool = False
    progress: RunProgress = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Begin the record of the progress."""
        self.progress = RunProgress(self.began)

    def report(self, percent: int, now: timedelta) -> None:
        """Record that the minion listed the run as active, at `percent`, at `now`."""
        self.percent = percent
        self.progress.observe(percent, now)
        self.reported = True
        self.missing_since = None
        self.confirm_begun(now)

    def confirm_begun(self, now: timedelta) -> None:
        """Record that the run is known at `now` to have begun."""
        if self.begun_by is None:
            self.begun_by = now

    def move_to_next_incarnation(self) -> None:
        """Forget what the earlier incarnation said; the next one may begin the run."""
        self.state = RunState.OUTCOME_UNKNOWN
        self.begun_by = self.missing_since = None

    def must_be_listed(self, sent: timedelta) -> bool:
        """Return whether the reply to a probe sent at `sent` shows the run or its end.

        One that is being stopped is not shown for a while, which the minion may have
        begun by itself.
        """
        return (
            self.state is RunState.ACTIVE
            and self.begun_by is not None
            and sent >= self.begun_by
        )

    def observe_missing(
        self, sent: timedelta, now: timedelta, stop_time: timedelta
    ) -> bool:
        """Record a reply without the run; return whether its end is lost.

        The reply answers a probe sent at `sent`. One is not enough, as the minion may
        be stopping the run, for up to `stop_time`.
        """
        if self.missing_since is None:
            self.missing_since = now
        return sent - self.missing_since >= stop_time

    @property
    def last_contact(self) -> timedelta:
        """Return when the run's coordinator was last heard, or an earlier time."""
        if self.task is None:
            return self.orphan_contact
        return self.task.parent_step.requester.last_contact

    def abandon(self) -> None:
        """Record that the task of the run is no longer wanted."""
        self.orphan_contact = self.last_contact
        self.task = None


__all__ = ["RunRecord", "RunState"]
