"""Send requests to the leader of the data centre's journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.entry.errors import JournalUnreachableError
from brasstray.job.incarnation import host_of
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import JournalReply

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.journal_service import JournalService
    from brasstray.entry.membership import Membership
    from brasstray.peer.messages import BindKey, LookUp, Message, RecordAnswer
    from brasstray.peer.peers import Peers


class JournalClient:
    """Repeat an idempotent request until a leader replies."""

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        journal_service: JournalService,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._config = config
        self._membership = membership
        self._journal_service = journal_service
        self._peers = peers
        self._clock = clock

    async def request(self, message: BindKey | RecordAnswer | LookUp) -> JournalReply:
        """Return the leader's reply.

        Raise JournalUnreachableError after the journal timeout; the leader may then
        have executed the request. Repeating it is safe, since the first record wins.
        """
        deadline = self._clock.monotonic() + self._config.timing.journal_timeout
        while self._clock.monotonic() < deadline:
            reply = await self._request_once(message)
            if isinstance(reply, JournalReply):
                return reply
            await self._clock.sleep(self._config.timing.journal_retry_interval)
        raise JournalUnreachableError(
            f"no leader of {self._config.data_centre} replied"
        )

    async def _request_once(
        self, message: BindKey | RecordAnswer | LookUp
    ) -> Message | None:
        if self._journal_service.leader is not None:
            return await self._journal_service.handle(message)
        leader = self._membership.leader
        if leader is None or leader == self._config.incarnation:
            return None
        timeout = 2 * self._config.timing.journal.commit_timeout
        try:
            return await self._peers.call(host_of(leader), leader, message, timeout)
        except PeerError:
            return None


__all__ = ["JournalClient"]
