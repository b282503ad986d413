"""Keep the jobs that this incarnation has accepted."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from brasstray.job.job_state import JobState

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.dispatch.job_run import JobRun
    from brasstray.dispatch.timing import DispatchTiming
    from brasstray.job.job_id import JobId

_INITIAL_HORIZON = datetime(2000, 1, 1, tzinfo=UTC)


class Executions:
    """Keep every accepted job until its key has expired.

    This is what prevents a job from running twice: only this incarnation may start the
    job's tasks, and it accepts neither a job that it still keeps nor a key that it may
    have forgotten.
    """

    def __init__(self, clock: Clock, timing: DispatchTiming) -> None:
        self._clock = clock
        self._timing = timing
        self._runs: dict[JobId, JobRun] = {}
        self._horizon = _INITIAL_HORIZON

    @property
    def runs(self) -> list[JobRun]:
        """Return the runs of all jobs that are kept."""
        return list(self._runs.values())

    @property
    def unanswered(self) -> int:
        """Return how many accepted jobs have no answer yet."""
        runs = self._runs.values()
        return sum(1 for run in runs if run.state is not JobState.ANSWERED)

    def get(self, job: JobId) -> JobRun | None:
        """Return the run of `job`, or None if it is not kept."""
        return self._runs.get(job)

    def may_have_forgotten(self, expires: datetime) -> bool:
        """Return whether a key that expires at `expires` may have been forgotten."""
        return expires <= self._horizon

    def add(self, run: JobRun) -> None:
        """Keep `run` until its key expires."""
        self._runs[run.job] = run

    def purge(self) -> None:
        """Remove answered jobs with expired keys, and results past their hold time."""
        now, monotonic_now = self._clock.now(), self._clock.monotonic()
        # The horizon never moves back, so a clock that is set back cannot make a
        # forgotten key valid again.
        self._horizon = max(self._horizon, now)
        for job, run in list(self._runs.items()):
            if run.answered_at is None:
                continue
            if run.expires <= self._horizon:
                del self._runs[job]
            elif monotonic_now - run.answered_at > self._timing.result_retention:
                run.drop_results()


__all__ = ["Executions"]
