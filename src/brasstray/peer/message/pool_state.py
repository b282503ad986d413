"""Report what a host owns and how much free capacity it has."""

from __future__ import annotations

import msgspec

from brasstray.batch.evacuation_set import NEVER_READ, EvacuationSet
from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.host_message import HostMessage


class PoolState(HostMessage, frozen=True, kw_only=True, tag="pool_state"):
    """Report which pool the sender owns, if any, and its free capacity.

    `incarnation` tells a process that has not heard yet that its claim was written from
    one that was started since. `free_slots` is how many usual tasks could start now.
    `wait_ms` is how long a new task would wait. `ready` is false until the owner knows
    what its minions run. `resigning` asks another host to take the pool.
    """

    incarnation: IncarnationId
    pool: PoolId | None
    token: FencingToken
    free_slots: int = msgspec.field(name="places")
    wait_ms: int
    ready: bool
    resigning: bool = False
    config_version: ConfigVersion
    evacuations: EvacuationSet = NEVER_READ


__all__ = ["PoolState"]
