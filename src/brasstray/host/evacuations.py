"""Track which data centres operators have evacuated."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.evacuation_set import UNREAD_EVACUATIONS, EvacuationSet
from brasstray.job.ids import DataCentreName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import OperatorEntries

STORE = "store"


class Evacuations:
    """Adopt the newest set of evacuated data centres, from the store or a host.

    Guards against starts in a data centre that operators believe to be empty: an owner
    that the store refuses, or whose watch is silent, does not learn of the evacuation
    from the store. Each heartbeat between hosts carries the set and the store version
    at which it was read, so that one host that reads it informs all others.

    Only `data_centres` can be evacuated; if it is empty, every name is accepted.
    """

    def __init__(
        self, data_centres: frozenset[DataCentreName], clock: Clock, events: HostEvents
    ) -> None:
        self._data_centres = data_centres
        self._clock = clock
        self._events = events
        self._current = UNREAD_EVACUATIONS
        self._source = "nobody"
        self._received_at = timedelta(0)
        self._changed = anyio.Event()

    @property
    def current(self) -> EvacuationSet:
        """Return the newest set known."""
        return self._current

    @property
    def source(self) -> str:
        """Return the source of the newest set: the store, or the name of a host."""
        return self._source

    @property
    def age(self) -> timedelta:
        """Return the time since the newest set was received."""
        return self._clock.monotonic() - self._received_at

    def is_evacuated(self, pool: PoolId) -> bool:
        """Return whether the data centre of `pool` is evacuated."""
        return DataCentreName(pool) in self._current.data_centres

    def apply_entries(self, entries: OperatorEntries, *, full: bool) -> None:
        """Apply entries from the store: the `full` set, or changes to it.

        Changes are applied to the newest set known here. A set received from another
        host may include some of them already; applying them twice changes nothing.
        """
        before = frozenset() if full else self._current.data_centres
        evacuated = frozenset(self._without_unknown(entries.evacuated))
        centres = (before | evacuated) - entries.resumed
        self.adopt(EvacuationSet(entries.as_of, centres), STORE)

    def _without_unknown(
        self, centres: Iterable[DataCentreName]
    ) -> Iterable[DataCentreName]:
        for centre in centres:
            if not self._data_centres or centre in self._data_centres:
                yield centre
            else:
                self._events.entry_ignored(f"evacuation of {centre!r}", "unknown")

    def adopt(self, received: EvacuationSet, source: str) -> None:
        """Adopt `received` if it was read at a later version than the current set."""
        if received.as_of <= self._current.as_of:
            return
        before, self._current = self._current, received
        self._source = source
        self._received_at = self._clock.monotonic()
        if received.data_centres != before.data_centres or not before.was_read:
            self._events.evacuations_changed(received, source)
            self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the set has changed since the last wait."""
        await self._changed.wait()
        self._changed = anyio.Event()


__all__ = ["Evacuations"]
