"""Run a host of the platform on real sockets."""

from __future__ import annotations

import signal
import time
from datetime import timedelta
from functools import partial
from random import SystemRandom
from typing import TYPE_CHECKING

import anyio
from eliot import add_destinations, log_message
from result import Err, Ok

from brasstray.clock.loop import LoopClock
from brasstray.host.event_log import EventLog
from brasstray.host.gauges import register_host_gauges
from brasstray.host.host_dependencies import HostDependencies
from brasstray.host.host_status import confirmed_status
from brasstray.host.identity import HostIdentity
from brasstray.host.pool_host import PoolHost
from brasstray.host.timing import HostTiming
from brasstray.http.metrics_app import MetricsApp
from brasstray.http.server import HttpServer, listen
from brasstray.job.ids import DataCentreName, HostName
from brasstray.job.incarnation import new_incarnation
from brasstray.log.bounded_output import BoundedOutput
from brasstray.peer.websocket_stream import WebSocketOpener, serve_streams
from brasstray.platform.job_app import JobApp
from brasstray.platform.minion_client import MinionClient
from brasstray.platform.minion_listing import MinionListing
from brasstray.platform.operator_entries import OperatorEntryReader
from brasstray.platform.ready_app import ReadyApp
from brasstray.platform.store_client import StoreClient
from brasstray.pool.timing import PoolTiming
from brasstray.settings.pool_settings import read_pool_settings

if TYPE_CHECKING:
    from pathlib import Path

    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    from brasstray.metrics.pool_metrics import PoolMetrics
    from brasstray.settings.pool_settings import MinionsSection, PoolSettings

STDOUT_FD = 1
# A changed file takes effect within 2 s, as is required of a changed configuration.
SETTINGS_POLL_INTERVAL = timedelta(seconds=1)
# How long new requests may still arrive after this host has reported that it is not
# ready: the platform checks once a second and removes a host after two failed checks.
DEREGISTRATION_DELAY = timedelta(seconds=2.5)
# The fraction of the longest lease that is requested. Minions cut a longer lease to
# their maximum, and the host would then assume that it ends later than it does.
LEASE_FRACTION = 0.8
# How many times the minions' stop time a stop is waited for, to cover network latency.
STOP_TIME_FACTOR = 1.2
# What remains of the grace period for the exit itself, after waiting for jobs.
EXIT_MARGIN = timedelta(seconds=0.7)


class PoolDaemon:
    """Run a host and manage its listeners and connections."""

    def __init__(
        self,
        path: Path,
        settings: PoolSettings,
        metrics: PoolMetrics,
        reader: InMemoryMetricReader,
    ) -> None:
        random = SystemRandom()
        self._path = path
        self._settings = settings
        self._clock = LoopClock()
        self._output = BoundedOutput(STDOUT_FD, self._clock)
        section = settings.host
        centre = DataCentreName(section.data_centre)
        name = HostName(section.name)
        identity = HostIdentity(
            name,
            centre,
            new_incarnation(centre, name, random),
            section.peers.address,
            section.peers.port,
            settings.processor.power,
        )
        self._store = StoreClient(
            settings.store.address.address, settings.store.address.port
        )
        events = EventLog(metrics)
        dependencies = HostDependencies(
            self._clock,
            random,
            uptime,
            self._store,
            OperatorEntryReader(self._store, events.entry_ignored),
            MinionListing(self._store, events.entry_ignored),
            MinionClient(),
            WebSocketOpener(),
            events,
        )
        self._host = PoolHost(
            identity,
            dependencies,
            HostTiming(pool=pool_timing(settings.minions)),
            settings.minions.remote_factor,
            section.known_data_centres,
            prioritize=settings.shortage.prioritize,
        )
        self._job_server = HttpServer(JobApp(self._host))
        self._readiness_server = HttpServer(ReadyApp(self._host))
        self._metrics_server = HttpServer(
            MetricsApp(reader, partial(confirmed_status, self._host))
        )
        register_host_gauges(metrics, self._host)

    async def run(self) -> None:
        """Serve until drained or cancelled."""
        section = self._settings.host
        add_destinations(self._output)
        callers = listen(section.callers.address, section.callers.port)
        ready = listen(section.ready.address, section.ready.port)
        metrics = listen(section.metrics.address, section.metrics.port)
        peers = listen(section.peers.address, section.peers.port)
        async with anyio.create_task_group() as group:
            group.start_soon(self._output.run)
            group.start_soon(self._host.run)
            group.start_soon(serve_streams, peers, self._host.serve)
            group.start_soon(self._readiness_server.run, ready)
            group.start_soon(self._metrics_server.run, metrics)
            group.start_soon(self._drain_on_signal)
            group.start_soon(self._reload_on_signal)
            group.start_soon(self._reload_on_change)
            log_message(
                "brasstray:started",
                incarnation=self._host.identity.incarnation,
                peers=f"{section.peers.address}:{section.peers.port}",
            )
            await self._job_server.run(callers)
            log_message(
                "brasstray:stopped", jobs_left=self._host.coordinator.active_count
            )
            self._output.flush()
            group.cancel_scope.cancel()

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for signal_number in signals:
                log_message("brasstray:signal", signal=signal_number.name)
                self.reload()

    async def _reload_on_change(self) -> None:
        """Reload the settings when the file has changed, without a signal."""
        last_text = b""
        while True:
            await self._clock.sleep(SETTINGS_POLL_INTERVAL)
            try:
                text = self._path.read_bytes()
            except OSError:
                # read_pool_settings gets the same error and reports it.
                text = b""
            if text != last_text:
                last_text = text
                self.reload()

    def reload(self) -> None:
        """Apply changed settings, or keep the old ones if the new ones are invalid.

        Changed names and listeners take effect at the next start.
        """
        match read_pool_settings(self._path):
            case Err(problems):
                log_message(
                    "brasstray:settings_refused", problems=[str(p) for p in problems]
                )
            case Ok(settings) if settings != self._settings:
                store = settings.store.address
                if store != self._settings.store.address:
                    self._store.set_address(store.address, store.port)
                self._settings = settings
                log_message(
                    "brasstray:settings_reloaded",
                    store=f"{store.address}:{store.port}",
                    grace_seconds=settings.stop.grace_seconds,
                )

    @property
    def _busy(self) -> bool:
        """Return whether jobs are active here, or minions have no other owner yet."""
        return bool(self._host.coordinator.active_count) or self._host.owner is not None

    async def _drain_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signal_number in signals:
                log_message("brasstray:signal", signal=signal_number.name)
                break
        grace = timedelta(seconds=self._settings.stop.grace_seconds)
        deadline = self._clock.monotonic() + grace - EXIT_MARGIN
        self._host.drain(grace - EXIT_MARGIN)
        await self._clock.sleep(min(DEREGISTRATION_DELAY, grace / 2))
        while self._busy and self._clock.monotonic() < deadline:
            await self._clock.sleep(timedelta(milliseconds=20))
        self._job_server.stop()


def pool_timing(minions: MinionsSection) -> PoolTiming:
    """Derive the lease and stop intervals from the settings of the minions."""
    millisecond = timedelta(milliseconds=1)
    return PoolTiming(
        lease=minions.lease_ms * millisecond * LEASE_FRACTION,
        longest_lease=minions.lease_ms * millisecond,
        stop_time=minions.stop_ms * millisecond * STOP_TIME_FACTOR,
    )


def uptime() -> timedelta:
    """Return the monotonic time since boot, including time in suspend."""
    return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


__all__ = ["PoolDaemon", "pool_timing", "uptime"]
