"""Handle journal requests of entry hosts while this host leads the journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.journal.errors import (
    CommitUnavailableError,
    DeposedError,
    JournalInDoubtError,
    KeyForgottenError,
)
from brasstray.peer.messages import (
    BindKey,
    JournalRefusal,
    JournalReply,
    LookUp,
    RecordAnswer,
)

if TYPE_CHECKING:
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.leader import Leader


class JournalService:
    """Pass requests to the leader on this host, or refuse them if there is none."""

    def __init__(self, config: EntryConfig, membership: Membership) -> None:
        self._config = config
        self._membership = membership
        self._leader: Leader | None = None

    @property
    def leader(self) -> Leader | None:
        """Return this host's leader; None if it has none or knows of a later term."""
        leader = self._leader
        if leader is None or self._membership.term > leader.writer.term:
            return None
        return leader

    def set_leader(self, leader: Leader | None) -> None:
        """Set the leader when a term begins on this host, None when it ends."""
        self._leader = leader

    async def handle(
        self, message: BindKey | RecordAnswer | LookUp
    ) -> JournalReply | JournalRefusal:
        """Return the journal's reply, or a refusal if this host cannot give one now."""
        leader = self.leader
        if leader is None:
            return JournalRefusal(leads=False)
        try:
            match message:
                case BindKey():
                    return await self._bind(leader, message)
                case RecordAnswer():
                    return await self._record_answer(leader, message)
                case LookUp():
                    return await self._look_up(leader, message)
        except CommitUnavailableError:
            return JournalRefusal(leads=True)
        except DeposedError:
            return JournalRefusal(leads=False)

    async def _bind(self, leader: Leader, message: BindKey) -> JournalReply:
        try:
            bound = await leader.bind(message.wanted)
        except KeyForgottenError:
            return JournalReply(forgotten=True)
        except JournalInDoubtError:
            return JournalReply(in_doubt=True)
        _, answered = await leader.look_up(bound.job)
        fenced = leader.is_fenced(bound.executor)
        return JournalReply(bound=bound, answered=answered, fenced=fenced)

    async def _record_answer(
        self, leader: Leader, message: RecordAnswer
    ) -> JournalReply:
        wanted = message.wanted
        answered = await leader.commit_answer(wanted)
        return JournalReply(
            answered=answered,
            fenced=leader.is_fenced(wanted.executor),
            forgotten=leader.is_forgotten(wanted.expires),
        )

    async def _look_up(self, leader: Leader, message: LookUp) -> JournalReply:
        bound, _ = await leader.look_up(message.job)
        executor = message.executor or (bound.executor if bound else None)
        if (
            message.suspect
            and executor is not None
            and self._is_presumed_dead(executor)
        ):
            await leader.fence(executor)
        bound, answered = await leader.look_up(message.job)
        return JournalReply(
            bound=bound,
            answered=answered,
            fenced=executor is not None and leader.is_fenced(executor),
            in_doubt=leader.in_doubt(message.expires),
            forgotten=leader.is_forgotten(message.expires),
        )

    def _is_presumed_dead(self, executor: IncarnationId) -> bool:
        # A live executor that is fenced by mistake loses its answers, but no task is
        # started twice.
        if executor == self._config.incarnation:
            return False
        if self._membership.is_replaced(executor):
            return True
        return (
            self._membership.incarnation_silence(executor)
            > self._config.timing.fence_after
        )


__all__ = ["JournalService"]
