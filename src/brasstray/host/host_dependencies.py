"""Define the external dependencies of a host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from brasstray.coordinator.events import CoordinatorEvents
from brasstray.host.host_events import HostEvents
from brasstray.pool.owner_events import OwnerEvents

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta
    from random import Random

    from brasstray.clock.clock import Clock
    from brasstray.host.operator_source import MinionList, OperatorSource
    from brasstray.peer.message_stream import StreamOpener
    from brasstray.pool.minion_calls import MinionCalls
    from brasstray.store.watchable_store import WatchableStore


class Events(HostEvents, CoordinatorEvents, OwnerEvents, Protocol):
    """Receive all events of a host, its coordinator and the owner of its pool."""


@dataclass(frozen=True)
class HostDependencies:
    """Hold the interfaces through which a host accesses its environment.

    `uptime` is a monotonic clock that advances while the machine is suspended.
    """

    clock: Clock
    random: Random
    uptime: Callable[[], timedelta]
    store: WatchableStore
    operators: OperatorSource
    minion_list: MinionList
    minions: MinionCalls
    opener: StreamOpener
    events: Events


__all__ = ["Events", "HostDependencies"]
