"""Access the replicas of the journal on other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.job.incarnation import host_of
from brasstray.journal.errors import ReplicaUnreachableError
from brasstray.peer.errors import PeerError
from brasstray.peer.messages import (
    DropCopies,
    FenceReply,
    FenceTerm,
    HoldCopies,
    HoldReply,
)

if TYPE_CHECKING:
    from brasstray.entry.config import EntryConfig
    from brasstray.entry.membership import Membership
    from brasstray.job.ids import IncarnationId
    from brasstray.journal.records import Record
    from brasstray.journal.replica import Replica
    from brasstray.peer.messages import Message
    from brasstray.peer.peers import Peers


class PeerReplicas:
    """Call the hosts that hold copies of journal records.

    Fencing includes this host's own replica, which needs no call.
    """

    def __init__(
        self,
        config: EntryConfig,
        membership: Membership,
        replica: Replica,
        peers: Peers,
    ) -> None:
        self._config = config
        self._membership = membership
        self._replica = replica
        self._peers = peers

    async def hold(
        self, replica: IncarnationId, term: int, copies: dict[int, Record | None]
    ) -> bool:
        """Store `copies` at `replica`; return False if `term` is fenced there."""
        numbers, records = list(copies), list(copies.values())
        reply = await self._call(
            replica, HoldCopies(term=term, numbers=numbers, records=records)
        )
        if not isinstance(reply, HoldReply):
            raise ReplicaUnreachableError(f"unexpected reply from {replica}")
        return reply.held

    async def drop(self, replica: IncarnationId, term: int, below: int) -> None:
        """Delete the copies below number `below`, which are flushed, at `replica`."""
        await self._call(replica, DropCopies(term=term, below=below))

    async def fence(self, replica: IncarnationId, term: int) -> list[Record] | None:
        """Fence `term` at `replica`; return its copies, or None if it has none."""
        if replica == self._config.incarnation:
            return self._replica.fence(term)
        reply = await self._call(replica, FenceTerm(term=term))
        if not isinstance(reply, FenceReply):
            raise ReplicaUnreachableError(f"unexpected reply from {replica}")
        return reply.records

    def candidates(self) -> list[IncarnationId]:
        """Return the other live hosts of the data centre that are not draining."""
        live = self._membership.live()
        return [member.incarnation for member in live if not member.draining]

    async def _call(self, replica: IncarnationId, message: Message) -> Message:
        timeout = self._config.timing.peer_timeout
        try:
            return await self._peers.call(host_of(replica), replica, message, timeout)
        except PeerError as error:
            raise ReplicaUnreachableError(str(error)) from error


__all__ = ["PeerReplicas"]
