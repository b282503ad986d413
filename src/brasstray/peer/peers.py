"""Define the interface to other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.job.ids import HostName, IncarnationId
    from brasstray.peer.messages import Message


class Peers(Protocol):
    """Call other entry hosts."""

    async def call(
        self,
        host: HostName,
        receiver: IncarnationId | None,
        message: Message,
        timeout: timedelta,
    ) -> Message:
        """Send `message` to `host` and return the reply.

        If `receiver` is given, only that incarnation handles the message; otherwise
        whichever runs on `host` does. Raise PeerNotReachedError if the message had no
        effect, and PeerReplyLostError if it may have had one.
        """


__all__ = ["Peers"]
