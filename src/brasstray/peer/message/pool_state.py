"""Report which pool a host owns and its free capacity."""

from __future__ import annotations

from typing import Any

import msgspec

from brasstray.batch.evacuation_set import UNREAD_EVACUATIONS, EvacuationSet
from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.host_message import HostMessage


class PoolState(HostMessage, frozen=True, kw_only=True, tag="pool_state"):
    """Report which pool the sender owns, if any, and its free capacity.

    `incarnation` distinguishes a process that hasn't yet learned that its claim was
    written from one that has been started since. `free_slots` is the number of typical
    tasks that could start now. `wait_ms` is how long a new task would wait, and
    `waits_ms` the same by priority, the last for all lower ones. `ready` is
    false until the owner knows which tasks its minions run. `resigning` asks another
    host to take over the pool.

    `contact_age_ms` is the age of the oldest last contact between the owner and the
    coordinator of any run in the pool, counted from when this state was created. By
    then, the heartbeat whose `sent_ms` is `acknowledged_ms` had arrived
    `acknowledged_age_ms` ago, rounded down.

    `learned` is what the owner has learned about queues since its last report, in the
    encoding of pool/learned_encoding.py. It is not typed here, as an invalid value must
    not close the connection.
    """

    incarnation: IncarnationId
    pool: PoolId | None
    token: FencingToken
    free_slots: int = msgspec.field(name="places")
    wait_ms: int
    ready: bool
    resigning: bool = False
    config_version: ConfigVersion
    evacuations: EvacuationSet = UNREAD_EVACUATIONS
    contact_age_ms: int | None = None
    acknowledged_ms: int | None = None
    acknowledged_age_ms: int = 0
    learned: Any = None
    waits_ms: tuple[int, ...] = ()


__all__ = ["PoolState"]
