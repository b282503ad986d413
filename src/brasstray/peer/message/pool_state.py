"""Tell what a host owns and how much room it has."""

from __future__ import annotations

from typing import Literal

from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.peer_message import PeerMessage


class PoolState(PeerMessage):
    """Tell which pool the sender owns, if any, and how much room it has.

    `incarnation` tells a process that has not heard yet that its claim was written from
    one that was started since. `places` is how many usual tasks could start now.
    `wait_ms` is how long a new task would wait. `ready` is false until the owner knows
    what its minions run. `resigning` asks another host to take the pool.
    """

    kind: Literal["pool_state"] = "pool_state"
    incarnation: IncarnationId
    pool: PoolId | None
    token: FencingToken
    places: int
    wait_ms: int
    ready: bool
    resigning: bool = False
    config_version: ConfigVersion


__all__ = ["PoolState"]
