"""Run an entry host on real sockets."""

from __future__ import annotations

import signal
from datetime import timedelta
from random import SystemRandom
from typing import TYPE_CHECKING

import anyio
from eliot import log_message

from brasstray.clock.loop import LoopClock
from brasstray.entry.entry_host import EntryHost
from brasstray.entry.entry_host_dependencies import EntryHostDependencies
from brasstray.http.caller_app import CallerApp
from brasstray.http.server import HttpServer, listen
from brasstray.minion.http import HttpMinions
from brasstray.peer.websocket_peers import WebSocketPeers
from brasstray.peer.websocket_server import WebSocketServer
from brasstray.store.http_platform import HttpPlatform

if TYPE_CHECKING:
    import socket
    from random import Random

    from brasstray.entry.config import EntryConfig
    from brasstray.metrics.entry_metrics import EntryMetrics
    from brasstray.settings.entry_settings import EntrySettings


class EntryDaemon:
    """Run an entry host and manage its listeners and connections."""

    def __init__(
        self,
        config: EntryConfig,
        callers: socket.socket,
        peers: socket.socket,
        platform: HttpPlatform,
        metrics: EntryMetrics,
        random: Random,
    ) -> None:
        self._config = config
        self._callers = callers
        self._peers = peers
        self._platform = platform
        self._metrics = metrics
        self._random = random
        self._host: EntryHost | None = None
        self._caller_server: HttpServer | None = None

    @property
    def host(self) -> EntryHost | None:
        """Return the entry host, or None before `run` has created it."""
        return self._host

    async def run(self) -> None:
        """Serve until drained or cancelled."""
        minions = HttpMinions()
        try:
            async with anyio.create_task_group() as group:
                self._host = self._assemble(group, minions)
                self._caller_server = HttpServer(CallerApp(self._host))
                server = WebSocketServer(self._config.incarnation, self._host)
                group.start_soon(server.run, self._peers)
                group.start_soon(self._host.run)
                log_message("brasstray:serves", incarnation=self._config.incarnation)
                await self._caller_server.run(self._callers)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await minions.aclose()
                await self._platform.aclose()
            self._callers.close()
            self._peers.close()

    def _assemble(self, group: anyio.abc.TaskGroup, minions: HttpMinions) -> EntryHost:
        host: EntryHost
        peers = WebSocketPeers(
            self._config.incarnation,
            lambda name: host.membership.listed_host(name),
            group,
            self._metrics,
        )
        dependencies = EntryHostDependencies(
            LoopClock(),
            self._random,
            self._platform,
            self._platform,
            peers,
            minions,
            self._metrics,
        )
        host = EntryHost(self._config, dependencies)
        return host

    async def drain(self) -> None:
        """Wait for active jobs, up to the drain timeout, and end `run`."""
        if self._host is None or self._caller_server is None:
            return
        left = await self._host.drain()
        log_message("brasstray:drained", jobs_left=left)
        self._caller_server.stop()

    async def drain_on_signal(self) -> None:
        """Drain at SIGTERM or SIGINT."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signal_number in signals:
                log_message("brasstray:signal", signal=signal_number.name)
                await self.drain()
                return


async def run_entry_daemon(settings: EntrySettings, metrics: EntryMetrics) -> None:
    """Run an entry host with `settings` until SIGTERM or SIGINT."""
    random = SystemRandom()
    platform = settings.platform
    daemon = EntryDaemon(
        settings.entry_config(random),
        listen(settings.entry.callers.address, settings.entry.callers.port),
        listen(settings.entry.peers.address, settings.entry.peers.port),
        HttpPlatform(
            platform.address.address,
            platform.address.port,
            timedelta(milliseconds=platform.timeout_ms),
        ),
        metrics,
        random,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(daemon.drain_on_signal)
        await daemon.run()
        group.cancel_scope.cancel()


__all__ = ["EntryDaemon", "run_entry_daemon"]
