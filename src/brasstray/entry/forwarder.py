"""Forward submissions, fetches and cancellations to a host that can answer them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.entry.errors import JournalUnreachableError
from brasstray.job.answer import Answer, may_have_run_answer, not_yet_known_answer
from brasstray.job.incarnation import host_of
from brasstray.job.key import MintedKey, home_data_centre
from brasstray.job.outcome import Outcome
from brasstray.job.reason import Reason
from brasstray.peer.errors import PeerError, PeerNotReachedError
from brasstray.peer.messages import AnswerReply, Cancel, Fetch, LookUp, Submit

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from brasstray.entry.config import EntryConfig
    from brasstray.entry.entry_host_dependencies import EntryHostDependencies
    from brasstray.entry.journal_client import JournalClient
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import HostName, IncarnationId
    from brasstray.job.job_id import JobId
    from brasstray.job.key import Key
    from brasstray.peer.messages import JournalReply

    JobMessage = Submit | Fetch | Cancel

MAX_HOPS = 3


class Forwarder:
    """Forward messages to the executor, to a peer, or to the key's home data centre.

    Without a reply, the answer states no outcome that may turn out to be wrong.
    """

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        journal: JournalClient,
        dependencies: EntryHostDependencies,
    ) -> None:
        self._config = config
        self._membership = membership
        self._journal = journal
        self._peers = dependencies.peers
        self._clock = dependencies.clock
        self._random = dependencies.random

    async def to_executor(
        self,
        key: Key,
        executor: IncarnationId,
        message: JobMessage,
        wait: timedelta,
        task_count: int,
    ) -> Answer:
        """Return the executor's answer, or the journal's if the executor is fenced."""
        job = message.job
        answers: list[Answer] = []
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._await_fence, job, key, executor, task_count, answers, group
            )
            await self._call_executor(executor, message, wait, answers)
            group.cancel_scope.cancel()
        return (
            answers[0]
            if answers
            else self._not_yet_known(job, Reason.EXECUTOR_UNREACHABLE)
        )

    async def _call_executor(
        self,
        executor: IncarnationId,
        message: JobMessage,
        wait: timedelta,
        answers: list[Answer],
    ) -> None:
        # When a reply is lost, the executor may have received the message, and no other
        # host can tell. So the job must not be reported as not run. Repeating the call
        # is safe, since the key makes it idempotent.
        deadline = self._clock.monotonic() + wait
        while True:
            time_left = max(deadline - self._clock.monotonic(), timedelta(0))
            try:
                host = host_of(executor)
                answers.append(await self._call(host, executor, message, time_left))
                return
            except PeerError:
                if time_left <= self._config.timing.retry_after:
                    return
            await self._clock.sleep(self._config.timing.retry_after)

    async def _await_fence(
        self,
        job: JobId,
        key: Key,
        executor: IncarnationId,
        task_count: int,
        answers: list[Answer],
        group: TaskGroup,
    ) -> None:
        """Ask the journal while the executor is silent or replaced, until it is fenced.

        Then append the answer to `answers` and cancel `group`.
        """
        timing = self._config.timing
        while True:
            await self._clock.sleep(timing.retry_after / 2)
            silence = self._membership.incarnation_silence(executor)
            suspected = silence > self._membership.suspect_after
            if not suspected and not self._membership.is_replaced(executor):
                continue
            try:
                reply = await self._journal.request(
                    LookUp(
                        job=job, expires=key.expires, executor=executor, suspect=True
                    )
                )
            except JournalUnreachableError:
                continue
            if reply.fenced:
                answers.append(self.fenced_answer(job, reply, task_count))
                group.cancel_scope.cancel()
                return

    def fenced_answer(self, job: JobId, reply: JournalReply, task_count: int) -> Answer:
        """Return the answer to a job whose executor is fenced."""
        if reply.answered is not None:
            return Answer(
                key=job.key,
                outcome=Outcome.FAILED,
                reason=Reason.ANSWER_LOST,
                committed=reply.answered.outcome,
                digest=reply.answered.digest,
            )
        # A lost replica may hold a committed answer. So that no other answer can
        # contradict it, nothing final is returned until the key expires.
        if reply.in_doubt:
            return self._not_yet_known(job, Reason.JOURNAL_IN_DOUBT)
        return may_have_run_answer(job.key, Reason.EXECUTOR_FENCED, task_count)

    async def to_home(self, key: Key, message: JobMessage, wait: timedelta) -> Answer:
        """Return the answer of a host in the key's home data centre.

        The executor of a minted key is tried first.
        """
        hosts = self._membership.listed_in(home_data_centre(key))
        self._random.shuffle(hosts)
        if isinstance(key, MintedKey) and host_of(key.executor) in hosts:
            hosts.remove(host_of(key.executor))
            hosts.insert(0, host_of(key.executor))
        return await self._forward_to_first(hosts, message, wait)

    async def to_peer(self, message: JobMessage, wait: timedelta) -> Answer:
        """Return the answer of another host of this data centre."""
        live = [m.host for m in self._membership.live() if not m.draining]
        self._random.shuffle(live)
        return await self._forward_to_first(live, message, wait)

    async def _forward_to_first(
        self, hosts: list[HostName], message: JobMessage, wait: timedelta
    ) -> Answer:
        if message.hops <= MAX_HOPS:
            for host in hosts:
                try:
                    return await self._call(host, None, message, wait)
                except PeerNotReachedError:
                    continue
                except PeerError:
                    break
        return self._not_yet_known(message.job, Reason.HOME_UNREACHABLE)

    async def _call(
        self,
        host: HostName,
        receiver: IncarnationId | None,
        message: JobMessage,
        wait: timedelta,
    ) -> Answer:
        timeout = wait + self._config.timing.forward_margin
        reply = await self._peers.call(host, receiver, message, timeout)
        if isinstance(reply, AnswerReply):
            return reply.answer
        raise PeerError(f"unexpected reply from {host}")

    def _not_yet_known(self, job: JobId, reason: Reason) -> Answer:
        return not_yet_known_answer(job.key, reason, self._config.timing.retry_after_ms)


__all__ = ["Forwarder"]
