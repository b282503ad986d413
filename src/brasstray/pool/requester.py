"""Define the party that asks the owner of a pool to run tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.peer.pool_messages import PoolMessage


class Requester(Protocol):
    """Receive messages about the tasks that it asked for; never blocks."""

    @property
    def name(self) -> str:
        """Return the name of the host, by which its share of a pool is known."""

    @property
    def last_contact(self) -> timedelta:
        """Return the monotonic time at which the requester was last heard from."""

    def send(self, message: PoolMessage) -> None:
        """Send `message`, in order; drop it if the requester is unreachable."""

    def send_deferred(self, message: PoolMessage) -> None:
        """Send `message` in order, at the latest with the next heartbeat."""


__all__ = ["Requester"]
