"""Hold the newest configuration that this host has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.batch.ids import NO_CONFIG, ConfigVersion
from brasstray.host.config_source import UnreadableConfigError
from brasstray.store.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from brasstray.batch.configuration import Configuration
    from brasstray.clock.clock import Clock
    from brasstray.host.config_source import ConfigSource
    from brasstray.host.host_events import HostEvents
    from brasstray.host.timing import HostTiming


class CurrentConfig:
    """Adopt newer configurations only, from the store or from a peer.

    An older one can come from a stale read or a peer that is behind; adopting it would
    take a change back that callers have seen.
    """

    def __init__(
        self,
        source: ConfigSource,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._source = source
        self._clock = clock
        self._timing = timing
        self._events = events
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, if one is known."""
        return self._current

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force; NO_CONFIG if none is."""
        return self._current.version if self._current else NO_CONFIG

    def adopt(self, found: Configuration | None, source: str) -> bool:
        """Put `found` in force if it is newer; tell whether it was."""
        if found is None or found.version <= self.version:
            return False
        self._current = found
        self._events.config_adopted(found.version, source)
        return True

    def adopt_text(self, text: bytes, source: str) -> None:
        """Put the configuration in `text` in force if it is newer."""
        try:
            if not self.adopt(self._source.parse(text), source):
                self._events.config_unneeded(source, len(text))
        except UnreadableConfigError as error:
            self._events.config_unreadable(source, str(error))

    async def follow(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                found = await self._source.read()
                self._events.store_back("configuration")
                while True:
                    self.adopt(found.configuration, "store")
                    found = await self._source.wait(
                        found.as_of, self._timing.config_watch
                    )
            except HistoryLostError:
                self._events.history_lost("configuration")
            except UnreadableConfigError as error:
                self._events.config_unreadable("store", str(error))
                await self._clock.sleep(self._timing.store_retry)
            except StoreUnavailableError as error:
                self._events.store_lost("configuration", str(error))
                await self._clock.sleep(self._timing.store_retry)


__all__ = ["CurrentConfig"]
