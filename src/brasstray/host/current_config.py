"""Hold the newest configuration that this host has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.batch.ids import NO_CONFIG, ConfigVersion
from brasstray.host.config_source import UnreadableConfigError
from brasstray.store.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from brasstray.batch.configuration import Configuration
    from brasstray.clock.clock import Clock
    from brasstray.host.config_source import ConfigSource, FoundConfig
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
        self._in_touch = True

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, if one is known."""
        return self._current

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force; NO_CONFIG if none is."""
        return self._current.version if self._current else NO_CONFIG

    @property
    def in_touch(self) -> bool:
        """Tell whether the store answered when it was last asked, or was not asked."""
        return self._in_touch

    def adopt(self, found: Configuration | None, source: str) -> bool:
        """Put `found` in force if it is newer; tell whether it was."""
        if found is None or found.version <= self.version:
            return False
        self._current = found
        self._events.config_adopted(found.version, source)
        return True

    def adopt_text(self, text: bytes, source: str) -> bool:
        """Put the configuration in `text` in force if it is newer; tell whether it was.

        One that cannot be read leaves the last one in force.
        """
        try:
            found = self._source.parse(text)
        except UnreadableConfigError as error:
            self._events.config_unreadable(source, str(error))
            return False
        if not self.adopt(found, source):
            self._events.config_unneeded(source, len(text))
            return False
        return True

    async def follow(self) -> None:
        """Follow the store until cancelled.

        What was read is not read again after a failed call: the store is asked for what
        came after it. Guards against hosts that fetch a large text with each try while
        the store, or the way there, fails again and again.
        """
        as_of: int | None = None
        while True:
            try:
                found = await self._after(as_of)
                as_of = found.as_of
                self._in_touch = True
                self._events.store_back("configuration")
                self.adopt(found.configuration, "store")
            except HistoryLostError:
                as_of = None
                self._events.history_lost("configuration")
                # Guards against a store that loses its history faster than hosts ask
                # for it: without a pause six hosts made 1,900 calls a second.
                await self._clock.sleep(self._timing.store_retry)
            except UnreadableConfigError as error:
                as_of = error.as_of
                self._events.config_unreadable("store", str(error))
                await self._clock.sleep(self._timing.store_retry)
            except StoreUnavailableError as error:
                self._in_touch = False
                self._events.store_lost("configuration", str(error))
                await self._clock.sleep(self._timing.store_retry)

    async def _after(self, as_of: int | None) -> FoundConfig:
        if as_of is None:
            return await self._source.read()
        return await self._source.wait(as_of, self._timing.config_watch)


__all__ = ["CurrentConfig"]
