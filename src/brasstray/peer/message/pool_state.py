"""Tell what a host owns and how much room it has."""

from __future__ import annotations

from brasstray.batch.evacuation_set import NEVER_READ, EvacuationSet
from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.host_message import HostMessage


class PoolState(HostMessage, frozen=True, kw_only=True, tag="pool_state"):
    """Tell which pool the sender owns, if any, and how much room it has.

    `incarnation` tells a process that has not heard yet that its claim was written from
    one that was started since. `places` is how many usual tasks could start now.
    `wait_ms` is how long a new task would wait. `ready` is false until the owner knows
    what its minions run. `resigning` asks another host to take the pool.
    """

    incarnation: IncarnationId
    pool: PoolId | None
    token: FencingToken
    places: int
    wait_ms: int
    ready: bool
    resigning: bool = False
    config_version: ConfigVersion
    evacuations: EvacuationSet = NEVER_READ


__all__ = ["PoolState"]
