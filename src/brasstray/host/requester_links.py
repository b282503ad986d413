"""Hold the connections on which other hosts request tasks from this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.host.succession import rank_successors
from brasstray.job.ids import HostName
from brasstray.peer.message.successors import Successors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from brasstray.host.requester_link import RequesterLink
    from brasstray.job.ids import DataCentreName
    from brasstray.peer.pool_messages import PoolMessage


class RequesterLinks:
    """Send messages of this host to all requesters or some of them."""

    def __init__(self, data_centre: DataCentreName) -> None:
        self._data_centre = data_centre
        self._links: set[RequesterLink] = set()

    def __iter__(self) -> Iterator[RequesterLink]:
        return iter(list(self._links))

    @property
    def powers(self) -> dict[HostName, float]:
        """Return the power of each connected host that could take over the pool."""
        return {HostName(link.name): link.power for link in self._local_links()}

    def add(self, link: RequesterLink) -> None:
        """Add `link`."""
        self._links.add(link)

    def discard(self, link: RequesterLink) -> None:
        """Remove `link`, if present."""
        self._links.discard(link)

    def close(self) -> None:
        """Close all links; messages that were not read yet are ignored."""
        for link in self._links:
            link.close()

    def send_state(self, include: Callable[[str], bool] = lambda _: True) -> None:
        """Send the state of this host to each host whose name `include` accepts."""
        for link in self._links:
            if include(link.name):
                link.send_state()

    def send_to_data_centre(self, message: PoolMessage) -> None:
        """Send `message` to the requesters in the data centre of this host."""
        for link in self._local_links():
            link.send(message)

    def announce_successors(self) -> None:
        """Announce the order of succession in the data centre of this host.

        Hosts that are not successors get heartbeats at the slow interval.
        """
        message = Successors(hosts=rank_successors(self.powers))
        self.send_to_data_centre(message)
        for link in self._local_links():
            link.set_heartbeat_rate(link.name in message.hosts)

    def _local_links(self) -> list[RequesterLink]:
        return [link for link in self._links if link.data_centre == self._data_centre]


__all__ = ["RequesterLinks"]
