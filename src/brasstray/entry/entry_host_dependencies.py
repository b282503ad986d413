"""Group the external interfaces that are injected into an entry host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from brasstray.clock.clock import Clock
    from brasstray.metrics.entry_metrics import EntryMetrics
    from brasstray.minion.minions import Minions
    from brasstray.peer.peers import Peers
    from brasstray.store.host_list import HostList
    from brasstray.store.store import Store


@dataclass(frozen=True)
class EntryHostDependencies:
    """Hold the clock, the random generator and the interfaces to other systems."""

    clock: Clock
    random: Random
    store: Store
    host_list: HostList
    peers: Peers
    minions: Minions
    metrics: EntryMetrics


__all__ = ["EntryHostDependencies"]
