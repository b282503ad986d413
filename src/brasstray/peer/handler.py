"""Define the interface that handles messages from other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId
    from brasstray.peer.messages import Message


class Handler(Protocol):
    """Handle messages from other entry hosts."""

    async def handle(self, sender: IncarnationId, message: Message) -> Message:
        """Handle `message` and return the reply."""


__all__ = ["Handler"]
