"""Call other entry hosts over websockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.peer.errors import PeerNotReachedError
from brasstray.peer.link import PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from anyio.abc import TaskGroup

    from brasstray.job.ids import HostName, IncarnationId
    from brasstray.metrics.entry_metrics import EntryMetrics
    from brasstray.peer.messages import Message
    from brasstray.store.listed_host import ListedHost


class WebSocketPeers:
    """Call peers, keeping one connection to each."""

    def __init__(
        self,
        sender: IncarnationId,
        find_host: Callable[[HostName], ListedHost | None],
        group: TaskGroup,
        metrics: EntryMetrics,
    ) -> None:
        self._sender = sender
        self._find_host = find_host
        self._group = group
        self._metrics = metrics
        self._links: dict[HostName, PeerLink] = {}

    async def call(
        self,
        host: HostName,
        receiver: IncarnationId | None,
        message: Message,
        timeout: timedelta,
    ) -> Message:
        """Send `message` to the peer on `host` and return the reply."""
        self._metrics.count_peer_call(message.kind)
        return await self._link(host).call(receiver, message, timeout)

    def _link(self, host: HostName) -> PeerLink:
        listed = self._find_host(host)
        if listed is None:
            raise PeerNotReachedError(f"host {host} is not in the platform's host list")
        uri = f"ws://{listed.address}:{listed.port}"
        link = self._links.get(host)
        if link is None or link.uri != uri:
            link = PeerLink(self._sender, uri, self._group)
            self._links[host] = link
        return link


__all__ = ["WebSocketPeers"]
