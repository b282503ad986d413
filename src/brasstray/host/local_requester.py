"""Pass what the own pool tells to the coordinator of the same process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.job.ids import HostName
    from brasstray.peer.pool_messages import PoolMessage


class LocalRequester:
    """Stand for the host itself among those that ask its pool for tasks."""

    def __init__(
        self, host: HostName, on_message: Callable[[PoolMessage], None]
    ) -> None:
        self.name = str(host)
        self._on_message = on_message

    def tell(self, message: PoolMessage) -> None:
        """Take `message` at once."""
        self._on_message(message)

    def tell_later(self, message: PoolMessage) -> None:
        """Take `message` at once: within a process nothing is saved by waiting."""
        self._on_message(message)


__all__ = ["LocalRequester"]
