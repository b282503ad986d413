"""Combine the configuration and the evacuations that operators have set."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from brasstray.host.config_exchange import ConfigExchange
from brasstray.host.current_config import CurrentConfig
from brasstray.host.evacuations import Evacuations
from brasstray.host.operator_feed import OperatorFeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.clock.clock import Clock
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import OperatorSource
    from brasstray.host.timing import HostTiming
    from brasstray.job.ids import DataCentreName
    from brasstray.peer.message.config_part import ConfigPart
    from brasstray.peer.message.config_wanted import ConfigWanted
    from brasstray.peer.message.hello import Hello
    from brasstray.peer.message.ping import Ping
    from brasstray.peer.message.pool_state import PoolState
    from brasstray.peer.pool_messages import PoolMessage


class OperatorState:
    """Keep the configuration and the evacuations up to date with store and peers."""

    def __init__(
        self,
        source: OperatorSource,
        data_centres: frozenset[DataCentreName],
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._config = CurrentConfig(source, events)
        self._evacuations = Evacuations(data_centres, clock, events)
        self._exchange = ConfigExchange(self._config, clock, timing, events)
        self._feed = OperatorFeed(
            source, self._config, self._evacuations, clock, timing, events
        )

    @property
    def config(self) -> CurrentConfig:
        """Return the configuration in force here."""
        return self._config

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuated data centres."""
        return self._evacuations

    async def run(self) -> None:
        """Watch the store and fetch from other hosts, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._feed.follow)
            group.start_soon(self._exchange.run)

    def handle_heartbeat(
        self,
        host: str,
        message: Hello | Ping | PoolState,
        send: Callable[[PoolMessage], None],
    ) -> None:
        """Take over what is newer on `host`; `send` sends a message to it."""
        self._evacuations.adopt(message.evacuations, host)
        self._exchange.record_version(host, message.config_version, send)

    def handle_config_message(
        self,
        host: str,
        message: ConfigWanted | ConfigPart,
        send: Callable[[PoolMessage], None],
    ) -> None:
        """Handle a request for a configuration, or a part of one, from `host`."""
        self._exchange.handle_message(host, message, send)


__all__ = ["OperatorState"]
