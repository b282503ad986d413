"""Run the jobs whose executor is this incarnation, and commit their answers."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from brasstray.dispatch.accepted_job import AcceptedJob
from brasstray.dispatch.dispatch_context import DispatchContext
from brasstray.dispatch.job_run import JobRun
from brasstray.dispatch.retry_budget import RetryBudget
from brasstray.entry.errors import JournalUnreachableError
from brasstray.job.answer import (
    Answer,
    may_have_run_answer,
    not_yet_known_answer,
    refused_answer,
)
from brasstray.job.reason import Reason
from brasstray.journal.records import JobAnswered
from brasstray.peer.messages import RecordAnswer

if TYPE_CHECKING:
    from datetime import datetime, timedelta

    from anyio.abc import TaskGroup

    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.entry.executions import Executions
    from brasstray.entry.journal_client import JournalClient
    from brasstray.entry.table_cache import TableCache
    from brasstray.job.job_id import JobId
    from brasstray.job.request import JobRequest


class JobRunner:
    """Accept each job once, run it, and keep its answer."""

    def __init__(
        self,
        config: EntryConfig,
        executions: Executions,
        journal: JournalClient,
        pool: MinionPool,
        tables: TableCache,
        dependencies: EntryHostDependencies,
    ) -> None:
        self._config = config
        self._executions = executions
        self._journal = journal
        self._pool = pool
        self._tables = tables
        self._dependencies = dependencies
        self._sequence_numbers = count()
        self._draining = False
        self._context: DispatchContext | None = None

    @property
    def draining(self) -> bool:
        """Return whether no more jobs are accepted."""
        return self._draining

    def use_task_group(self, group: TaskGroup) -> None:
        """Run jobs as tasks of `group`; called once, before the first submission."""
        self._context = DispatchContext(
            group,
            self._pool,
            self._dependencies.minions,
            self._dependencies.clock,
            self._dependencies.random,
            self._config.timing.dispatch,
            self._dependencies.metrics,
            RetryBudget(),
        )

    def drain(self) -> None:
        """Stop accepting jobs."""
        self._draining = True

    def find(self, job: JobId) -> JobRun | None:
        """Return the run of `job`, or None if this incarnation does not keep one."""
        return self._executions.get(job)

    async def submit(
        self,
        job: JobId,
        expires: datetime,
        request: JobRequest,
        wait: timedelta,
        table_rejection: Answer | None,
    ) -> Answer:
        """Return the answer to a job whose executor is this incarnation.

        `table_rejection` is returned if the job is new and the table does not admit it.
        """
        run = self._executions.get(job)
        if run is None:
            rejection = self._check_admission(job, expires, request) or table_rejection
            if rejection is not None:
                return rejection
            run = self._accept(job, expires, request)
        elif run.digest != request.digest:
            return key_conflict(job)
        return await self.wait_for(run, wait)

    async def wait_for(self, run: JobRun, wait: timedelta) -> Answer:
        """Wait up to `wait` for the answer of `run`; else return that it is running."""
        answer = await run.answer(wait)
        if answer is not None:
            return answer
        return not_yet_known_answer(
            run.job.key, Reason.RUNNING, self._config.timing.retry_after_ms
        )

    def _check_admission(
        self, job: JobId, expires: datetime, request: JobRequest
    ) -> Answer | None:
        if self._executions.may_have_forgotten(expires):
            return may_have_run_answer(job.key, Reason.KEY_EXPIRED, len(request.tasks))
        if self._draining:
            return refused_answer(job.key, Reason.DRAINING, "ask another entry host")
        if self._executions.unanswered >= self._config.max_jobs:
            detail = f"{self._config.max_jobs} jobs run here"
            answer = refused_answer(job.key, Reason.OVERLOADED, detail)
            retry_after_ms = self._config.timing.retry_after_ms
            return answer.model_copy(update={"retry_after_ms": retry_after_ms})
        return None

    def _accept(self, job: JobId, expires: datetime, request: JobRequest) -> JobRun:
        assert self._context is not None
        accepted = AcceptedJob(
            job,
            request,
            expires,
            next(self._sequence_numbers),
            self._weight_of(request),
        )
        run = JobRun(accepted, self._context)
        self._executions.add(run)
        self._context.group.start_soon(run.run, self._commit)
        return run

    def _weight_of(self, request: JobRequest) -> float:
        row = self._tables.table.row(request.service, request.period)
        return row.weight if row is not None else 1.0

    async def _commit(self, run: JobRun, answer: Answer) -> Answer:
        """Commit `answer` to the journal and return the answer that all hosts give.

        That is `answer`, unless the executor was fenced or the key was forgotten first.
        """
        assert answer.digest is not None
        message = RecordAnswer(
            wanted=JobAnswered(
                job=run.job,
                executor=self._config.incarnation,
                outcome=answer.outcome,
                digest=answer.digest,
                expires=run.expires,
            )
        )
        while True:
            try:
                reply = await self._journal.request(message)
            except JournalUnreachableError:
                continue
            if reply.answered is not None:
                return answer
            if reply.fenced:
                # This host was presumed dead and fenced, but still runs. Other hosts
                # answer "failed" since then, and the journal accepts no later answer.
                # So this host must answer the same, or one job has two answers.
                return may_have_run_answer(
                    run.job.key, Reason.EXECUTOR_FENCED, run.task_count
                )
            if reply.forgotten:
                return may_have_run_answer(
                    run.job.key, Reason.KEY_EXPIRED, run.task_count
                )
            await self._dependencies.clock.sleep(
                self._config.timing.journal_retry_interval
            )


def key_conflict(job: JobId) -> Answer:
    """Return the refusal of a key that was used before with other content."""
    detail = "the key was used with other content; this content was not run"
    return refused_answer(job.key, Reason.KEY_CONFLICT, detail)


__all__ = ["JobRunner", "key_conflict"]
