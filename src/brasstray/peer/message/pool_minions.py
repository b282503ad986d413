"""Tell the hosts of a data centre which minions its pool has."""

from __future__ import annotations

from brasstray.peer.message.host_message import HostMessage
from brasstray.pool.minion_entry import MinionEntry


class PoolMinions(HostMessage, frozen=True, kw_only=True, tag="pool_minions"):
    """Tell which minions the owner holds, also those that the store does not list.

    Whoever takes the pool over must find out what runs on all of them.
    """

    minions: tuple[MinionEntry, ...]


__all__ = ["PoolMinions"]
