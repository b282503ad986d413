"""Watch the entries that operators write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.host.store_follower import follow_store
from brasstray.store.errors import StoreUnavailableError

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.host.current_config import CurrentConfig
    from brasstray.host.evacuations import Evacuations
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import OperatorEntries, OperatorSource
    from brasstray.host.timing import HostTiming


class OperatorFeed:
    """Update the configuration and the evacuations from the store."""

    def __init__(
        self,
        source: OperatorSource,
        config: CurrentConfig,
        evacuations: Evacuations,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._source = source
        self._config = config
        self._evacuations = evacuations
        self._clock = clock
        self._timing = timing
        self._events = events

    async def follow(self) -> None:
        """Watch the store until cancelled."""
        await follow_store(
            "configuration",
            self._apply_changes_after,
            self._clock,
            self._timing.store_retry_delay,
            self._events,
        )

    async def _apply_changes_after(self, as_of: int | None) -> int:
        try:
            entries = await self._read_after(as_of)
        except StoreUnavailableError:
            self._config.record_store_response(answered=False)
            raise
        self._config.record_store_response(answered=True)
        # Evacuations first: they must apply even if the configuration cannot be read.
        self._evacuations.apply_entries(entries, full=as_of is None)
        if entries.unreadable is not None:
            self._events.config_unreadable("store", entries.unreadable)
        self._config.adopt(entries.configuration, "store")
        return entries.as_of

    async def _read_after(self, as_of: int | None) -> OperatorEntries:
        if as_of is None:
            return await self._source.read()
        return await self._source.watch(as_of, self._timing.config_watch_timeout)


__all__ = ["OperatorFeed"]
