"""Determine the executor of a job, and run the job here or forward it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from result import Err, Ok

from brasstray.entry.errors import JournalUnreachableError
from brasstray.entry.job_runner import key_conflict
from brasstray.job.answer import (
    Answer,
    may_have_run_answer,
    not_yet_known_answer,
    refused_answer,
)
from brasstray.job.job_id import JobId
from brasstray.job.key import (
    KEY_HELP,
    CallerKey,
    Key,
    MintedKey,
    home_data_centre,
    mint_key,
    parse_key,
)
from brasstray.job.reason import Reason
from brasstray.journal.records import KeyBound
from brasstray.peer.messages import BindKey, Cancel, Fetch, LookUp, Submit
from brasstray.table.row import TableRow

if TYPE_CHECKING:
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.entry.forwarder import Forwarder
    from brasstray.entry.job_runner import JobRunner
    from brasstray.entry.journal_client import JournalClient
    from brasstray.entry.table_cache import TableCache
    from brasstray.job.ids import CallerName, IncarnationId, KeyText
    from brasstray.job.request import JobRequest

_MILLISECOND = timedelta(milliseconds=1)


class JobService:
    """Handle submissions, fetches and cancellations on any entry host.

    Only the executor may start a job's tasks: the incarnation that a minted key names,
    or that the journal of the home data centre has bound an own key to. All other
    hosts forward the message, or answer from the journal.
    """

    def __init__(
        self,
        config: EntryConfig,
        runner: JobRunner,
        forwarder: Forwarder,
        journal: JournalClient,
        tables: TableCache,
        dependencies: EntryHostDependencies,
    ) -> None:
        self._config = config
        self._runner = runner
        self._forwarder = forwarder
        self._journal = journal
        self._tables = tables
        self._clock = dependencies.clock
        self._random = dependencies.random

    def mint(self) -> MintedKey:
        """Return a new key whose executor is this incarnation."""
        lifetime = self._config.timing.journal.key_lifetime
        return mint_key(
            self._config.incarnation, self._clock.now(), lifetime, self._random
        )

    async def submit(
        self,
        caller: CallerName,
        key_text: str | None,
        request: JobRequest,
        wait: timedelta,
        hops: int = 0,
    ) -> Answer:
        """Submit `request`; return its answer, or what is known of it after `wait`."""
        if not self._tables.ready:
            return self._not_yet_known(None, Reason.STARTING)
        rejection = self._check_request(request)
        if rejection is not None:
            return rejection
        if key_text is None:
            if not request.repeatable:
                detail = f"a job that may not be repeated needs a key: {KEY_HELP}"
                return refused_answer(None, Reason.KEY_REQUIRED, detail)
            key_text = self.mint().text()
        match parse_key(key_text):
            case Ok(key):
                rejection = self._check_key(key, request)
                if rejection is not None:
                    return rejection
                submit = Submit(
                    job=JobId(caller=caller, key=key.text()),
                    request=request,
                    wait_ms=wait // _MILLISECOND,
                    hops=hops + 1,
                )
                return await self._submit(key, submit, wait)
            case Err(detail):
                return refused_answer(None, Reason.BAD_REQUEST, f"key: {detail}")

    def _check_request(self, request: JobRequest) -> Answer | None:
        service = self._config.services.get(request.service)
        if service is None:
            known = ", ".join(sorted(self._config.services))
            return refused_answer(
                None, Reason.UNKNOWN_SERVICE, f"services are: {known}"
            )
        if request.repeatable and not self._table_row(request).repeatable:
            detail = f"jobs of {service.name} may not be marked repeatable"
            return refused_answer(None, Reason.BAD_REQUEST, detail)
        return None

    def _table_row(self, request: JobRequest) -> TableRow:
        row = self._tables.table.row(request.service, request.period)
        if row is not None:
            return row
        service = self._config.services[request.service]
        return TableRow(service=service.name, repeatable=service.repeatable)

    def _check_key(self, key: Key, request: JobRequest) -> Answer | None:
        time_left = key.expires - self._clock.now()
        if time_left <= timedelta(0):
            # Expired keys are forgotten, so a job with this key may have run before.
            return may_have_run_answer(
                key.text(), Reason.KEY_EXPIRED, len(request.tasks)
            )
        max_lifetime = self._config.timing.journal.key_lifetime
        if time_left > max_lifetime:
            detail = f"a key may expire at most {max_lifetime} from now"
            return refused_answer(key.text(), Reason.KEY_TOO_LONG_LIVED, detail)
        if home_data_centre(key) not in self._config.data_centres:
            known = ", ".join(self._config.data_centres)
            detail = f"key: home data centres are: {known}"
            return refused_answer(key.text(), Reason.BAD_REQUEST, detail)
        return None

    async def _submit(self, key: Key, submit: Submit, wait: timedelta) -> Answer:
        job, request = submit.job, submit.request
        if home_data_centre(key) != self._config.data_centre:
            return await self._forwarder.to_home(key, submit, wait)
        rejection = _check_table_limits(self._table_row(request), request)
        if isinstance(key, MintedKey):
            executor = key.executor
        else:
            if rejection is not None:
                # The job may have been accepted before the table changed. So it is
                # refused as not run only if the journal does not know its key.
                lookup = await self._executor_of(key, job)
                if isinstance(lookup, Answer):
                    key_is_unknown = lookup.reason is Reason.UNKNOWN_KEY
                    return rejection if key_is_unknown else lookup
            if self._runner.draining and self._runner.find(job) is None:
                return await self._forwarder.to_peer(submit, wait)
            bound = await self._bind(job, key, request)
            if isinstance(bound, Answer):
                return bound
            if bound.digest != request.digest:
                return key_conflict(job)
            executor = bound.executor
        if executor == self._config.incarnation:
            return await self._runner.submit(job, key.expires, request, wait, rejection)
        count = len(request.tasks)
        return await self._forwarder.to_executor(key, executor, submit, wait, count)

    async def _bind(
        self, job: JobId, key: CallerKey, request: JobRequest
    ) -> KeyBound | Answer:
        wanted = KeyBound(
            job=job,
            digest=request.digest,
            executor=self._config.incarnation,
            task_count=len(request.tasks),
            expires=key.expires,
        )
        try:
            reply = await self._journal.request(BindKey(wanted=wanted))
        except JournalUnreachableError:
            return self._not_yet_known(job.key, Reason.JOURNAL_UNAVAILABLE)
        if reply.forgotten:
            return may_have_run_answer(job.key, Reason.KEY_EXPIRED, len(request.tasks))
        if reply.bound is None:
            return self._not_yet_known(job.key, Reason.JOURNAL_IN_DOUBT)
        if reply.bound.digest == wanted.digest and reply.fenced:
            return self._forwarder.fenced_answer(job, reply, len(request.tasks))
        return reply.bound

    async def fetch(
        self, caller: CallerName, key_text: str, wait: timedelta, hops: int = 0
    ) -> Answer:
        """Return the answer to an earlier job, or what is known of it after `wait`."""
        match parse_key(key_text):
            case Ok(key):
                job = JobId(caller=caller, key=key.text())
                fetch = Fetch(job=job, wait_ms=wait // _MILLISECOND, hops=hops + 1)
                return await self._fetch_or_cancel(key, fetch, wait)
            case Err(detail):
                return refused_answer(None, Reason.BAD_REQUEST, f"key: {detail}")

    async def cancel(self, caller: CallerName, key_text: str, hops: int = 0) -> Answer:
        """Stop starting the job's tasks and return its answer."""
        match parse_key(key_text):
            case Ok(key):
                cancel = Cancel(job=JobId(caller=caller, key=key.text()), hops=hops + 1)
                wait = self._config.timing.journal_timeout
                return await self._fetch_or_cancel(key, cancel, wait)
            case Err(detail):
                return refused_answer(None, Reason.BAD_REQUEST, f"key: {detail}")

    async def _fetch_or_cancel(
        self, key: Key, message: Fetch | Cancel, wait: timedelta
    ) -> Answer:
        job = message.job
        if home_data_centre(key) != self._config.data_centre:
            return await self._forwarder.to_home(key, message, wait)
        run = self._runner.find(job)
        if run is not None:
            if isinstance(message, Cancel):
                run.cancel()
            return await self._runner.wait_for(run, wait)
        if key.expires <= self._clock.now():
            return may_have_run_answer(job.key, Reason.KEY_EXPIRED, 0)
        lookup = await self._executor_of(key, job)
        if isinstance(lookup, Answer):
            return lookup
        executor, count = lookup
        if executor == self._config.incarnation:
            return self._not_yet_known(job.key, Reason.UNKNOWN_KEY)
        return await self._forwarder.to_executor(key, executor, message, wait, count)

    async def _executor_of(
        self, key: Key, job: JobId
    ) -> tuple[IncarnationId, int] | Answer:
        if isinstance(key, MintedKey):
            return key.executor, 0
        try:
            reply = await self._journal.request(LookUp(job=job, expires=key.expires))
        except JournalUnreachableError:
            return self._not_yet_known(job.key, Reason.JOURNAL_UNAVAILABLE)
        if reply.forgotten:
            return may_have_run_answer(job.key, Reason.KEY_EXPIRED, 0)
        if reply.bound is not None:
            return reply.bound.executor, reply.bound.task_count
        reason = Reason.JOURNAL_IN_DOUBT if reply.in_doubt else Reason.UNKNOWN_KEY
        return self._not_yet_known(job.key, reason)

    def _not_yet_known(self, key: KeyText | None, reason: Reason) -> Answer:
        return not_yet_known_answer(key, reason, self._config.timing.retry_after_ms)


def _check_table_limits(row: TableRow, request: JobRequest) -> Answer | None:
    row_name = f"{row.service}, {row.period}"
    if not row.open:
        return refused_answer(None, Reason.SERVICE_CLOSED, f"{row_name} is closed")
    if len(request.tasks) > row.max_tasks:
        detail = f"a job of {row_name} has at most {row.max_tasks} tasks"
        return refused_answer(None, Reason.LIMIT, detail)
    if request.deadline_ms > row.max_deadline_ms:
        detail = f"a deadline of {row_name} is at most {row.max_deadline_ms} ms"
        return refused_answer(None, Reason.LIMIT, detail)
    return None


__all__ = ["JobService"]
