"""Run a complete system over loopback sockets in one process."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import anyio

from brasstray.clock.loop import LoopClock
from brasstray.daemon.entry_daemon import EntryDaemon
from brasstray.entry.config import EntryConfig
from brasstray.entry.service import Service
from brasstray.entry.timing import EntryTiming
from brasstray.http.server import HttpServer, listen
from brasstray.job.ids import DataCentreName, HostName, ServiceName
from brasstray.job.incarnation import new_incarnation
from brasstray.metrics.entry_metrics import InMemoryMetrics
from brasstray.store.host_kind import HostKind
from brasstray.store.http_platform import HttpPlatform
from brasstray.store.listed_host import ListedHost
from brasstray_standins.balancer_app import BalancerApp
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.minion import StandInMinion
from brasstray_standins.minion_app import MinionApp
from brasstray_standins.platform_app import PlatformApp

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskGroup

LOOPBACK = "127.0.0.1"
DATA_CENTRES = ("utrecht-a", "utrecht-b", "amersfoort")
HOST_COUNT = 8
MINION_COUNT = 25
SLOTS = 8
SERVICES = {"verlofdienst": False, "echantillon": False, "herrekening": True}
PLATFORM_TIMEOUT = timedelta(seconds=1)


@dataclass
class RunningDaemon:
    """Hold an entry daemon and the scope that cancels it."""

    daemon: EntryDaemon
    scope: anyio.CancelScope


class LoopbackSystem:
    """Run the platform, minions, balancer and entry daemons over real sockets."""

    def __init__(self, group: TaskGroup, seed: int) -> None:
        self._group = group
        self._random = Random(seed)
        self._clock = LoopClock()
        self.platform = MemoryPlatform(self._clock)
        self.metrics = InMemoryMetrics()
        self.minions: list[StandInMinion] = []
        self.daemons: dict[str, RunningDaemon] = {}
        self.balancer = BalancerApp([], self._random)
        self.balancer_port = 0
        self._platform_port = 0
        self._scopes: dict[str, anyio.CancelScope] = {}

    def start(self) -> None:
        """Start the platform, all minions and entry daemons, and the balancer."""
        self._platform_port = self._serve("platform", PlatformApp(self.platform))
        listed = [*self._start_minions(), *self._start_daemons()]
        self.platform.list_hosts(listed)
        backends = [
            (LOOPBACK, host.caller_port)
            for host in listed
            if host.caller_port is not None
        ]
        self.balancer.add(backends)
        self.balancer_port = self._serve("balancer", self.balancer)

    def _start_minions(self) -> list[ListedHost]:
        listed: list[ListedHost] = []
        for number in range(MINION_COUNT):
            minion = StandInMinion(f"minion-{number}", self._clock, SLOTS)
            self.minions.append(minion)
            port = self._serve(minion.name, MinionApp(minion))
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            listed.extend(
                ListedHost(
                    name=minion.name,
                    kind=HostKind.MINION,
                    data_centre=DataCentreName(centre),
                    address=LOOPBACK,
                    port=port,
                    service=ServiceName(service),
                    slots=SLOTS,
                )
                for service in SERVICES
            )
        return listed

    def _start_daemons(self) -> list[ListedHost]:
        listed = []
        for number in range(HOST_COUNT):
            centre = DataCentreName(DATA_CENTRES[number % len(DATA_CENTRES)])
            callers, peers = listen(LOOPBACK, 0), listen(LOOPBACK, 0)
            host = ListedHost(
                name=f"entry-{number}",
                kind=HostKind.ENTRY,
                data_centre=centre,
                address=LOOPBACK,
                port=peers.getsockname()[1],
                caller_port=callers.getsockname()[1],
            )
            listed.append(host)
            self._start_daemon(host, callers, peers)
        return listed

    def _start_daemon(
        self, host: ListedHost, callers: socket.socket, peers: socket.socket
    ) -> None:
        name = HostName(host.name)
        random = Random(self._random.getrandbits(64))
        config = EntryConfig(
            data_centre=host.data_centre,
            host=name,
            incarnation=new_incarnation(host.data_centre, name, random),
            data_centres=tuple(map(DataCentreName, DATA_CENTRES)),
            services={
                ServiceName(s): Service(ServiceName(s), repeatable)
                for s, repeatable in SERVICES.items()
            },
            timing=EntryTiming(),
        )
        daemon = EntryDaemon(
            config,
            callers,
            peers,
            HttpPlatform(LOOPBACK, self._platform_port, PLATFORM_TIMEOUT),
            self.metrics.metrics(host.name),
            random,
        )
        running = RunningDaemon(daemon, anyio.CancelScope())
        self.daemons[host.name] = running
        self._group.start_soon(self._run_daemon, running)

    async def _run_daemon(self, running: RunningDaemon) -> None:
        with running.scope:
            await running.daemon.run()

    def _serve(self, name: str, app: object) -> int:
        listener = listen(LOOPBACK, 0)
        self._scopes[name] = anyio.CancelScope()
        self._group.start_soon(self._run_server, name, app, listener)
        port: int = listener.getsockname()[1]
        return port

    async def _run_server(
        self, name: str, app: object, listener: socket.socket
    ) -> None:
        with self._scopes[name]:
            await HttpServer(app).run(listener)

    def kill_minion(self, number: int) -> None:
        """Kill a minion and the tasks that it runs."""
        minion = self.minions[number]
        minion.kill()
        self._scopes[minion.name].cancel()

    def kill_daemon(self, name: str) -> None:
        """Kill an entry daemon without a graceful shutdown."""
        self.daemons[name].scope.cancel()

    async def settle(self) -> None:
        """Wait until the journal of every data centre has a leader."""
        while len(self._leaders()) < len(DATA_CENTRES):
            await anyio.sleep(0.05)
        await anyio.sleep(EntryTiming().suspect_after.total_seconds())

    def _leaders(self) -> dict[str, str]:
        hosts = [running.daemon.host for running in self.daemons.values()]
        return {
            host.config.data_centre: host.config.host
            for host in hosts
            if host is not None and host.journal_service.leader is not None
        }

    def starts(self, key: str) -> dict[str, int]:
        """Return the number of starts of each task of a job."""
        starts: dict[str, int] = {}
        for minion in self.minions:
            for task, count in minion.starts.items():
                if f"/{key}/" in task:
                    starts[task] = starts.get(task, 0) + count
        return starts


__all__ = ["DATA_CENTRES", "LOOPBACK", "MINION_COUNT", "SLOTS", "LoopbackSystem"]
