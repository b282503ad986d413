"""Handle messages from other entry hosts."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.peer.messages import (
    Acknowledgement,
    AnswerReply,
    BindKey,
    BorrowSlots,
    Cancel,
    DropCopies,
    FenceReply,
    FenceTerm,
    Fetch,
    GrantSlots,
    Heartbeat,
    HoldCopies,
    HoldReply,
    LookUp,
    Message,
    RecordAnswer,
    Submit,
    TableReply,
    TableRequest,
)

if TYPE_CHECKING:
    from brasstray.dispatch.minion_pool import MinionPool
    from brasstray.entry.credit_exchange import CreditExchange
    from brasstray.entry.heartbeats import Heartbeats
    from brasstray.entry.job_service import JobService
    from brasstray.entry.journal_service import JournalService
    from brasstray.entry.table_cache import TableCache
    from brasstray.job.answer import Answer
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.replica import Replica


class PeerHandler:
    """Dispatch each message to the component that handles it."""

    def __init__(
        self,
        heartbeats: Heartbeats,
        jobs: JobService,
        journal: JournalService,
        replica: Replica,
        pool: MinionPool,
        exchange: CreditExchange,
        tables: TableCache,
    ) -> None:
        self._heartbeats = heartbeats
        self._jobs = jobs
        self._journal = journal
        self._replica = replica
        self._pool = pool
        self._exchange = exchange
        self._tables = tables

    async def handle(self, sender: IncarnationId, message: Message) -> Message:
        """Return the reply to a peer's message."""
        match message:
            case Heartbeat():
                self._heartbeats.receive(message)
                return self._heartbeats.build(message.sender)
            case TableRequest():
                ready = self._tables.ready
                return TableReply(table=self._tables.table, ready=ready)
            case BorrowSlots():
                return self._exchange.grant(sender, message)
            case GrantSlots():
                self._pool.add_credits(message.minions)
            case Submit() | Fetch() | Cancel():
                return AnswerReply(answer=await self._answer(message))
            case BindKey() | RecordAnswer() | LookUp():
                return await self._journal.handle(message)
            case HoldCopies():
                copies = dict(zip(message.numbers, message.records, strict=True))
                return HoldReply(held=self._replica.hold(message.term, copies))
            case DropCopies():
                self._replica.drop(message.term, message.below)
            case FenceTerm():
                return FenceReply(records=self._replica.fence(message.term))
        return Acknowledgement()

    async def _answer(self, message: Submit | Fetch | Cancel) -> Answer:
        caller, key, hops = message.job.caller, message.job.key, message.hops
        match message:
            case Submit(request=request, wait_ms=wait_ms):
                wait = timedelta(milliseconds=wait_ms)
                return await self._jobs.submit(caller, key, request, wait, hops)
            case Fetch(wait_ms=wait_ms):
                wait = timedelta(milliseconds=wait_ms)
                return await self._jobs.fetch(caller, key, wait, hops)
            case Cancel():
                return await self._jobs.cancel(caller, key, hops)


__all__ = ["PeerHandler"]
