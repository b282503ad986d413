"""Decode the jobs that callers submit."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated

import msgspec

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.limits import MAX_ESTIMATE
from brasstray.batch.resources import Resources
from brasstray.batch.step import Step
from brasstray.platform.body import Body, UnreadableBodyError

# Upper bound for one job; the largest one at full scale has 1,700 tasks.
MAX_TASKS_PER_JOB = 10_000
_MAX_ESTIMATE_MS = MAX_ESTIMATE // timedelta(milliseconds=1)
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class UnreadableJobError(Exception):
    """The body is not a valid job."""


class UnsupportedJobError(Exception):
    """The job requires a feature that is not supported; none of its tasks run."""


class StepBody(Body, frozen=True, kw_only=True):
    """Describe a step of a job.

    `cpu` is in thousandths of a core; `after` holds indices of earlier steps.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)] = 1
    cpu: _NonNegativeInt = 0
    mem_mb: _NonNegativeInt = 0
    gpu: _NonNegativeInt = 0
    est_ms: _NonNegativeInt = 1
    after: list[int] = msgspec.field(default_factory=list)
    data_rack: str = ""
    required_label: str = ""
    max_per_server: _NonNegativeInt = 0
    gang: bool = False
    target_ms: int = 0

    def to_step(self, number: int) -> Step:
        """Convert to a step; raise UnreadableJobError or UnsupportedJobError."""
        if any(not 0 <= before < number for before in self.after):
            raise UnreadableJobError(f"step {number} waits for a step not before it")
        if self.gang or self.target_ms:
            raise UnsupportedJobError(f"step {number} runs as a gang or serves users")
        return Step(
            self.count,
            Resources(self.cpu, self.mem_mb, self.gpu),
            timedelta(milliseconds=max(1, min(self.est_ms, _MAX_ESTIMATE_MS))),
            tuple(self.after),
            self.data_rack,
            self.required_label,
            min(self.max_per_server, MAX_TASKS_PER_JOB),
        )


class JobBody(Body, frozen=True, kw_only=True):
    """Describe a job; `best_effort` jobs are not stored, and answered at their end."""

    spec: str = ""
    steps: Annotated[list[StepBody], msgspec.Meta(min_length=1)]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0


def parse_job(job_id: str, text: bytes) -> Batch:
    """Decode a job; raise UnreadableJobError or UnsupportedJobError."""
    try:
        body = JobBody.decode(text)
    except UnreadableBodyError as error:
        raise UnreadableJobError(str(error)) from error
    if not body.best_effort or body.long_running or body.repeat_count:
        raise UnsupportedJobError("only jobs with BestEffort are served")
    tasks = sum(step.count for step in body.steps)
    if tasks > MAX_TASKS_PER_JOB:
        raise UnreadableJobError(f"{tasks} tasks, over {MAX_TASKS_PER_JOB}")
    steps = tuple(step.to_step(number) for number, step in enumerate(body.steps))
    return Batch(BatchId(job_id), body.spec, steps)


__all__ = ["UnreadableJobError", "UnsupportedJobError", "parse_job"]
