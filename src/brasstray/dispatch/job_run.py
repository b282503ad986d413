"""Run one job on its executor, the only incarnation that may start its tasks."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

from brasstray.dispatch.task_run import TaskRun
from brasstray.job.answer import Answer, TaskReport
from brasstray.job.job_state import JobState
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray.job.task_state import TaskState
from brasstray.minion.errors import MinionError, TaskMayHaveRunError
from brasstray.minion.task_id import TaskId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import datetime, timedelta

    from pydantic import JsonValue

    from brasstray.dispatch.accepted_job import AcceptedJob
    from brasstray.dispatch.dispatch_context import DispatchContext
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.job.ids import ServiceName
    from brasstray.job.job_id import JobId


class JobRun:
    """Send a job's tasks to minions and build the job's answer.

    A task is sent again only if it is known not to have run. In a repeatable job, a
    task that may have run is sent again as well, within the retry budget.
    """

    def __init__(self, accepted: AcceptedJob, context: DispatchContext) -> None:
        self._accepted = accepted
        self._context = context
        self._digest = accepted.request.digest
        self._state = JobState.ACCEPTED
        self._tasks = [
            TaskRun(i, task) for i, task in enumerate(accepted.request.tasks)
        ]
        self._pending = deque(self._tasks)
        self._unfinished = len(self._tasks)
        self._progress = anyio.Event()
        self._send_scope = anyio.CancelScope()
        self._stop_reason: Reason | None = None
        self._answer: Answer | None = None
        self._answered = anyio.Event()
        self._answered_at: timedelta | None = None

    @property
    def job(self) -> JobId:
        """Return the job's id."""
        return self._accepted.job

    @property
    def service(self) -> ServiceName:
        """Return the service whose minions can run the job's tasks."""
        return self._accepted.request.service

    @property
    def sequence_number(self) -> int:
        """Return the job's position in the order of acceptance on this host."""
        return self._accepted.sequence_number

    @property
    def weight(self) -> float:
        """Return the job's scheduling weight."""
        return self._accepted.weight

    @property
    def unfinished(self) -> int:
        """Return how many tasks have no result yet."""
        return self._unfinished

    @property
    def unsent(self) -> int:
        """Return how many tasks are queued for sending."""
        return len(self._pending)

    @property
    def digest(self) -> str:
        """Return the digest of the job's request."""
        return self._digest

    @property
    def expires(self) -> datetime:
        """Return when the job's key expires."""
        return self._accepted.expires

    @property
    def state(self) -> JobState:
        """Return the job's current state."""
        return self._state

    @property
    def task_count(self) -> int:
        """Return how many tasks the job has."""
        return len(self._tasks)

    @property
    def answered_at(self) -> timedelta | None:
        """Return the monotonic time at which the answer was committed."""
        return self._answered_at

    async def run(self, commit: Callable[[JobRun, Answer], Awaitable[Answer]]) -> None:
        """Send every task, commit the answer, then release it to waiting callers."""
        self._state = self._state.transition_to(JobState.RUNNING)
        # The job must end before its key expires, since expired keys are forgotten.
        time_left = min(
            self._accepted.request.deadline,
            self._accepted.expires - self._context.clock.now(),
        )
        with self._send_scope:
            with anyio.move_on_after(time_left.total_seconds()) as deadline_scope:
                await self._send_all()
            if deadline_scope.cancelled_caught:
                self._stop_reason = Reason.DEADLINE
        self._state = self._state.transition_to(JobState.COMMITTING)
        self._answer = await commit(self, self._build_answer())
        self._state = self._state.transition_to(JobState.ANSWERED)
        self._answered_at = self._context.clock.monotonic()
        self._answered.set()

    def cancel(self) -> None:
        """Stop starting tasks; those already sent may still run."""
        self._stop(Reason.CANCELLED)

    async def answer(self, wait: timedelta) -> Answer | None:
        """Wait up to `wait` for the committed answer; return None if there is none."""
        with anyio.move_on_after(wait.total_seconds()):
            await self._answered.wait()
        return self._answer

    def drop_results(self) -> None:
        """Free the memory of the results and keep only each task's final state."""
        if self._answer is not None and self._answer.outcome is Outcome.COMPLETE:
            self._answer = lost_answer(self._answer)
        self._tasks, self._pending = [], deque()

    def _stop(self, reason: Reason) -> None:
        if self._state in (JobState.ACCEPTED, JobState.RUNNING):
            self._stop_reason = self._stop_reason or reason
            self._send_scope.cancel()

    async def _send_all(self) -> None:
        while self._unfinished:
            if not self._pending:
                self._progress = anyio.Event()
                await self._progress.wait()
                continue
            load = await self._context.pool.acquire(self)
            if not self._pending:
                self._context.pool.release(load)
                continue
            task = self._pending.popleft()
            task.advance(TaskState.SENT)
            self._context.group.start_soon(self._send, task, load)

    async def _send(self, task: TaskRun, load: MinionLoad) -> None:
        """Start `task` on the minion of `load`; not cancelled when the job stops.

        The credit stays in use until the minion replies. If it were released when the
        job is cancelled, the task would still fill the slot and the next start there
        would be refused.
        """
        context = self._context
        task.send_count += 1
        context.metrics.count_start()
        try:
            value = await context.minions.start(
                load.listed,
                TaskId(self.job, task.index),
                task.request,
                context.timing.task_timeout,
            )
        except MinionError as error:
            context.metrics.count_retry(error.reason)
            context.pool.record_failure(load, self.job, error.reason)
            self._record_failure(task, error)
        else:
            load.health.record_success()
            context.retry_budget.deposit()
            self._record_success(task, value)
        finally:
            context.pool.release(load)

    def _record_success(self, task: TaskRun, value: JsonValue) -> None:
        if self._state is JobState.RUNNING:
            task.value = value
            task.advance(TaskState.DONE)
            self._unfinished -= 1
            self._progress.set()

    def _record_failure(self, task: TaskRun, error: MinionError) -> None:
        if self._state is not JobState.RUNNING:
            return
        if isinstance(error, TaskMayHaveRunError) and not self._claim_repeat(task):
            task.advance(TaskState.MAY_HAVE_RUN)
            self._stop(Reason.TASK_DOUBTFUL)
        else:
            task.advance(TaskState.PENDING)
            self._context.group.start_soon(self._retry, task)

    def _claim_repeat(self, task: TaskRun) -> bool:
        # Without a reply it is unknown whether the task ran. Sending it again could run
        # it twice, which only a repeatable job allows.
        if not self._accepted.request.repeatable:
            return False
        task.repeat_count += 1
        within_limit = task.repeat_count <= self._context.timing.max_repeats
        return within_limit and self._context.retry_budget.try_withdraw()

    async def _retry(self, task: TaskRun) -> None:
        timing, random = self._context.timing, self._context.random
        max_delay = min(
            timing.max_retry_delay, timing.min_retry_delay * 2.0**task.send_count
        )
        await self._context.clock.sleep(max_delay * random.random())
        self._pending.append(task)
        self._progress.set()

    def _build_answer(self) -> Answer:
        for task in self._tasks:
            task.finalize()
        complete = all(task.state is TaskState.DONE for task in self._tasks)
        return Answer(
            key=self._accepted.job.key,
            outcome=Outcome.COMPLETE if complete else Outcome.FAILED,
            reason=None if complete else self._stop_reason,
            tasks=[TaskReport(state=t.state, value=t.value) for t in self._tasks],
        ).with_digest()


def lost_answer(answer: Answer) -> Answer:
    """Return a copy of a complete answer without its results, which were dropped."""
    return answer.model_copy(
        update={
            "outcome": Outcome.FAILED,
            "reason": Reason.ANSWER_LOST,
            "committed": answer.outcome,
            "tasks": [TaskReport(state=TaskState.DONE)] * len(answer.tasks),
        }
    )


__all__ = ["JobRun", "lost_answer"]
