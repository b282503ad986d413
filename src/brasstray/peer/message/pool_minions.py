"""Report the minions of a pool to the hosts of its data centre."""

from __future__ import annotations

from brasstray.peer.message.host_message import HostMessage
from brasstray.pool.minion_entry import MinionEntry


class PoolMinions(HostMessage, frozen=True, kw_only=True, tag="pool_minions"):
    """List the minions in the pool, including those that the store doesn't list.

    The next owner of the pool must find out what runs on each of them.
    """

    minions: tuple[MinionEntry, ...]


__all__ = ["PoolMinions"]
