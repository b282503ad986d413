"""Define the answers that callers get."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, JsonValue

from brasstray.job.ids import KeyText
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray.job.request import digest_of
from brasstray.job.task_state import TaskState


class TaskReport(BaseModel):
    """Describe how one task ended."""

    model_config = ConfigDict(frozen=True)

    state: TaskState
    value: JsonValue = None


class Answer(BaseModel):
    """Describe the outcome of a job and of all its tasks."""

    model_config = ConfigDict(frozen=True)

    outcome: Outcome
    key: KeyText | None = None
    reason: Reason | None = None
    detail: str | None = None
    retry_after_ms: int | None = None
    tasks: list[TaskReport] = []
    digest: str | None = None
    committed: Outcome | None = None

    @property
    def final_result(self) -> tuple[Outcome, str | None]:
        """Return the fields that must be equal in all final answers to one job.

        An answer whose results are lost still states the committed outcome.
        """
        return self.committed or self.outcome, self.digest

    def with_digest(self) -> Answer:
        """Return a copy with the digest of its tasks."""
        body = "".join(task.model_dump_json() for task in self.tasks)
        return self.model_copy(update={"digest": digest_of(body.encode())})


def refused_answer(key: KeyText | None, reason: Reason, detail: str) -> Answer:
    """Return the answer to a submission that is known not to have run."""
    return Answer(key=key, outcome=Outcome.REFUSED, reason=reason, detail=detail)


def not_yet_known_answer(
    key: KeyText | None, reason: Reason, retry_after_ms: int
) -> Answer:
    """Return the answer when nothing final can be said yet."""
    return Answer(
        key=key,
        outcome=Outcome.NOT_YET_KNOWN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def may_have_run_answer(key: KeyText, reason: Reason, task_count: int) -> Answer:
    """Return a failed answer in which every task may or may not have run."""
    return Answer(
        key=key,
        outcome=Outcome.FAILED,
        reason=reason,
        tasks=[TaskReport(state=TaskState.MAY_HAVE_RUN)] * task_count,
    ).with_digest()


__all__ = [
    "Answer",
    "TaskReport",
    "may_have_run_answer",
    "not_yet_known_answer",
    "refused_answer",
]
