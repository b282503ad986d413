"""Tell the hosts of a data centre which minions its pool has."""

from __future__ import annotations

from typing import Literal

from brasstray.peer.message.peer_message import PeerMessage
from brasstray.pool.minion_entry import MinionEntry


class PoolMinions(PeerMessage):
    """Tell which minions the owner holds, also those that the store does not list.

    Whoever takes the pool over must find out what runs on all of them.
    """

    kind: Literal["pool_minions"] = "pool_minions"
    minions: tuple[MinionEntry, ...]


__all__ = ["PoolMinions"]
