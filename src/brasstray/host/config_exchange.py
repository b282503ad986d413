"""Exchange configurations with other hosts, so that the newest reaches every host."""

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

# A heartbeat queues behind one part at most, so parts must be short on slow links.
PART_BYTES = 16_384


class ConfigExchange:
    """Send the configuration to hosts with an older one, and fetch newer ones.

    Every heartbeat carries the version; the text is sent only to hosts that request it.
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

    def record_version(
        self, host: str, version: ConfigVersion, send: Callable[[PoolMessage], None]
    ) -> None:
        """Record that `host` has `version` in force; `send` sends a message to it."""
        self._fetch.offer(host, version, send)

    def handle_message(
        self,
        host: str,
        message: ConfigWanted | ConfigPart,
        send: Callable[[PoolMessage], None],
    ) -> None:
        """Handle a request or a part from `host`; `send` sends a message to it."""
        match message:
            case ConfigPart():
                self._fetch.receive_part(host, message)
            case ConfigWanted() if self._config.current is not None:
                part = requested_part(message, self._config.current)
                send(part)
                if part.offset + len(part.text) >= part.size:
                    self._events.config_told(host, part.version, part.size)


def requested_part(request: ConfigWanted, current: Configuration) -> ConfigPart:
    """Return the part of `current` that a host has requested.

    It is the first part if the requested version is no longer in force.
    """
    offset = request.offset if request.version == current.version else 0
    return ConfigPart(
        version=current.version,
        size=len(current.text),
        text=current.text[offset : offset + PART_BYTES],
        offset=offset,
    )


__all__ = ["PART_BYTES", "ConfigExchange", "requested_part"]
