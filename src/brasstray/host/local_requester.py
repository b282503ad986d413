"""Deliver messages of the local pool to the coordinator in the same process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.job.ids import HostName
    from brasstray.peer.pool_messages import PoolMessage


class LocalRequester:
    """Represent the host itself as a requester of its own pool."""

    def __init__(
        self,
        host: HostName,
        on_message: Callable[[PoolMessage], None],
        clock: Clock,
    ) -> None:
        self._name = str(host)
        self._clock = clock
        self._on_message = on_message

    @property
    def name(self) -> str:
        """Return the name of this host."""
        return self._name

    @property
    def last_contact(self) -> timedelta:
        """Return the current time, as this host is a part of the owner's process.

        Its callers lose their connections when the owner fails.
        """
        return self._clock.monotonic()

    def send(self, message: PoolMessage) -> None:
        """Deliver `message` immediately."""
        self._on_message(message)

    def send_deferred(self, message: PoolMessage) -> None:
        """Deliver `message` immediately: batching saves nothing within a process."""
        self._on_message(message)


__all__ = ["LocalRequester"]
