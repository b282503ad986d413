"""Hold the newest configuration that this host has received."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import NO_CONFIG, ConfigVersion
from brasstray.host.operator_source import UnreadableConfigError

if TYPE_CHECKING:
    from brasstray.batch.configuration import Configuration
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import OperatorSource


class CurrentConfig:
    """Adopt only newer configurations, from the store or from a peer.

    A stale read or an outdated peer can deliver an older one; adopting it would revert
    a change that callers have already seen.
    """

    def __init__(self, source: OperatorSource, events: HostEvents) -> None:
        self._source = source
        self._events = events
        self._current: Configuration | None = None
        self._store_reachable = True
        self._available = anyio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, if one is known."""
        return self._current

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force, or NO_CONFIG."""
        return self._current.version if self._current else NO_CONFIG

    @property
    def store_reachable(self) -> bool:
        """Return whether the store answered the last request; True before the first."""
        return self._store_reachable

    async def wait_available(self) -> None:
        """Wait until a configuration is in force."""
        await self._available.wait()

    def record_store_response(self, *, answered: bool) -> None:
        """Record whether a request to the store was answered."""
        self._store_reachable = answered

    def adopt(self, candidate: Configuration | None, source: str) -> bool:
        """Put `candidate` in force if it is newer; return whether it was."""
        if candidate is None or candidate.version <= self.version:
            return False
        self._current = candidate
        self._available.set()
        self._events.config_adopted(candidate.version, source)
        return True

    def adopt_text(self, text: bytes, source: str) -> bool:
        """Parse `text` and put it in force if it is newer; return whether it was.

        A text that cannot be parsed leaves the last configuration in force.
        """
        try:
            candidate = self._source.parse(text)
        except UnreadableConfigError as error:
            self._events.config_unreadable(source, str(error))
            return False
        if not self.adopt(candidate, source):
            self._events.config_unneeded(source, len(text))
            return False
        return True


__all__ = ["CurrentConfig"]
