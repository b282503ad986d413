"""Know which data centres operators have evacuated."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.evacuation_set import NEVER_READ, EvacuationSet
from brasstray.job.ids import DataCentreName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from brasstray.batch.ids import PoolId
    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import OperatorEntries

STORE = "store"


class Evacuations:
    """Adopt the newest set, from the store or from another host.

    Guards against starts in a data centre that operators believe to be empty: an owner
    that the store turns away, or whose watch has gone silent, does not learn of it from
    there. Each heartbeat between hosts carries the set and the store's version that it
    was read at, so that one host that reads it tells all.

    Only `data_centres` can be evacuated; without any, every name counts.
    """

    def __init__(
        self, data_centres: frozenset[DataCentreName], clock: Clock, events: HostEvents
    ) -> None:
        self._data_centres = data_centres
        self._clock = clock
        self._events = events
        self._current = NEVER_READ
        self._source = "nobody"
        self._heard_at = timedelta(0)
        self._changed = anyio.Event()

    @property
    def current(self) -> EvacuationSet:
        """Return the newest set known."""
        return self._current

    @property
    def source(self) -> str:
        """Return who told the newest set: the store, or a host."""
        return self._source

    @property
    def heard_ago(self) -> timedelta:
        """Return how old the newest word on the set is."""
        return self._clock.monotonic() - self._heard_at

    def covers(self, pool: PoolId) -> bool:
        """Return whether the minions of `pool` get nothing new."""
        return DataCentreName(pool) in self._current.data_centres

    def learn(self, entries: OperatorEntries, *, whole: bool) -> None:
        """Take what the store tells: the `whole` set, or changes of it.

        Changes go on top of whatever is newest here. What another host told meanwhile
        has some of them already, and having them twice changes nothing.
        """
        before = frozenset() if whole else self._current.data_centres
        named = frozenset(self._named(entries.evacuated))
        centres = (before | named) - entries.resumed
        self.adopt(EvacuationSet(entries.as_of, centres), STORE)

    def _named(self, centres: Iterable[DataCentreName]) -> Iterable[DataCentreName]:
        for centre in centres:
            if not self._data_centres or centre in self._data_centres:
                yield centre
            else:
                self._events.entry_ignored(f"evacuation of {centre!r}", "unknown")

    def adopt(self, found: EvacuationSet, source: str) -> None:
        """Take `found` for the truth if it was read later than what is known."""
        if found.as_of <= self._current.as_of:
            return
        before, self._current = self._current, found
        self._source = source
        self._heard_at = self._clock.monotonic()
        if found.data_centres != before.data_centres or not before.known:
            self._events.evacuations_changed(found, source)
            self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until a data centre was evacuated or resumed since the last wait."""
        await self._changed.wait()
        self._changed = anyio.Event()


__all__ = ["Evacuations"]
