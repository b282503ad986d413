"""Bring the configurations of two hosts to the newer one of both."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.host.config_fetch import ConfigFetch
from brasstray.peer.message.config_part import ConfigPart
from brasstray.peer.message.config_wanted import ConfigWanted

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.configuration import Configuration
    from brasstray.batch.ids import ConfigVersion
    from brasstray.clock.clock import Clock
    from brasstray.host.current_config import CurrentConfig
    from brasstray.host.host_events import HostEvents
    from brasstray.host.timing import HostTiming
    from brasstray.peer.pool_messages import PoolMessage

# A heartbeat waits behind one part at most, so a part must be short on narrow links.
PART_BYTES = 16_384


class ConfigExchange:
    """Answer hosts that are behind, and fetch from hosts that are ahead.

    Versions travel on every heartbeat; a text goes only to a host that asks for it.
    """

    def __init__(
        self,
        config: CurrentConfig,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._config = config
        self._events = events
        self._fetch = ConfigFetch(config, clock, timing, events)

    async def run(self) -> None:
        """Fetch newer configurations, until cancelled."""
        await self._fetch.run()

    def hear(
        self, host: str, version: ConfigVersion, tell: Callable[[PoolMessage], None]
    ) -> None:
        """Record that `host`, reached by `tell`, has `version` in force."""
        self._fetch.offer(host, version, tell)

    def take(
        self,
        host: str,
        message: ConfigWanted | ConfigPart,
        tell: Callable[[PoolMessage], None],
    ) -> None:
        """Take a question or a part from `host`, which is reached by `tell`."""
        match message:
            case ConfigPart():
                self._fetch.take(host, message)
            case ConfigWanted() if self._config.current is not None:
                part = part_for(message, self._config.current)
                tell(part)
                if part.offset + len(part.text) >= part.size:
                    self._events.config_told(host, part.version, part.size)


def part_for(wanted: ConfigWanted, current: Configuration) -> ConfigPart:
    """Return the part of `current` that a host asks for."""
    offset = wanted.offset if wanted.version == current.version else 0
    return ConfigPart(
        version=current.version,
        size=len(current.text),
        text=current.text[offset : offset + PART_BYTES],
        offset=offset,
    )


__all__ = ["PART_BYTES", "ConfigExchange", "part_for"]
