"""Run hosts and leased minions together in memory, on a real or virtual clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.batch import Batch
from brasstray.batch.configuration import Configuration
from brasstray.batch.ids import BatchId, ConfigVersion, QueueName
from brasstray.batch.queue import Queue
from brasstray.batch.resources import Resources
from brasstray.batch.step import Step
from brasstray.clock.loop import LoopClock
from brasstray.host.event_log import EventLog
from brasstray.host.host_dependencies import HostDependencies
from brasstray.host.identity import HostIdentity
from brasstray.host.operator_source import OperatorEntries, UnreadableConfigError
from brasstray.host.pool_host import PoolHost
from brasstray.host.timing import HostTiming
from brasstray.job.ids import DataCentreName, HostName, MinionId, ServiceName
from brasstray.job.incarnation import new_incarnation
from brasstray.pool.minion_entry import MinionEntry
from brasstray_standins.gate import Gate, GatedClock
from brasstray_standins.leased_minion import LeasedMinion, RunRecorder, Work, tick_all
from brasstray_standins.leased_minions import LeasedMinions
from brasstray_standins.memory_store import MemoryStore, StoreView
from brasstray_standins.memory_streams import (
    MemoryStream,
    MemoryStreamOpener,
    StreamNetwork,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from brasstray.batch.outcome import BatchResult
    from brasstray.metrics.pool_metrics import PoolMetrics
    from brasstray.store.entry import StoreEntry

SERVICE = ServiceName("verlofdienst")
OPERATOR_PREFIX = "op/"
CONFIG_KEY = f"{OPERATOR_PREFIX}config"
EVACUATION_PREFIX = f"{OPERATOR_PREFIX}evacuate/"
TICK = timedelta(milliseconds=1)
STRONG_HOST_POWER = 4.0
STRONG_HOST_LINK_FACTOR = 8.0
TASK_NEEDS = Resources(6_800, 64)
TASK_DURATION = timedelta(milliseconds=60)
STRETCH = 1.6


@dataclass(frozen=True)
class PoolSystemSize:
    """Define the numbers, capacities and speeds of hosts and minions.

    The first `strong_each` hosts of each data centre have four times the power and
    links eight times as fast. `link_rate` is the bandwidth of every other host's link
    in bytes per second each way. The clocks of minions run at `minion_clock_rate`
    times the true rate. `slowdowns` repeats over the minions of a data centre.
    """

    data_centres: int = 2
    hosts_each: int = 3
    minions_each: int = 4
    strong_each: int = 0
    capacity: Resources = Resources(16_000, 32_768)
    link_rate: float | None = None
    minion_clock_rate: float = 1.0
    slowdowns: tuple[float, ...] = (1.0,)
    prioritize: bool = False


class _StoreOperatorSource:
    """Read evacuations and a configuration of which only the version counts."""

    def __init__(self, store: StoreView) -> None:
        self._store = store

    async def read(self) -> OperatorEntries:
        found = await self._store.snapshot(OPERATOR_PREFIX)
        return self._entries(found.entries, (), found.as_of)

    async def watch(self, after: int, wait: timedelta) -> OperatorEntries:
        changes = await self._store.watch(OPERATOR_PREFIX, after, wait)
        return self._entries(changes.written, changes.removed, changes.as_of)

    def _entries(
        self, written: tuple[StoreEntry, ...], removed: tuple[str, ...], as_of: int
    ) -> OperatorEntries:
        values = {entry.name: entry.value for entry in written}
        text = values.pop(CONFIG_KEY, None)
        return OperatorEntries(
            self.parse(text) if text else None,
            as_of,
            _data_centres_in(name for name, value in values.items() if value == b"{}"),
            _data_centres_in(removed),
        )

    def parse(self, text: bytes) -> Configuration:
        try:
            version = int(json.loads(text)["version"])
        except (ValueError, KeyError) as error:
            raise UnreadableConfigError(str(error)) from error
        return Configuration(ConfigVersion(version), (make_queue(),), text=text)


def _data_centres_in(names: Iterable[str]) -> frozenset[DataCentreName]:
    """Return the data centres named by those of `names` that denote evacuations."""
    found = (name.partition(EVACUATION_PREFIX) for name in names)
    return frozenset(DataCentreName(end) for _, prefix, end in found if prefix)


@dataclass
class _MinionList:
    store: StoreView
    system: PoolSystem

    async def minions(self, data_centre: DataCentreName) -> list[MinionEntry]:
        await self.store.snapshot("minions")
        return [e for e in self.system.listed if e.data_centre == data_centre]


@dataclass
class RunningHost:
    """Hold one host process and the objects that inject its faults.

    `callers` are the cancel scopes of clients that wait for the host; they are
    cancelled when the process ends.
    """

    host: PoolHost
    calls: LeasedMinions
    gate: Gate
    scope: anyio.CancelScope
    group: TaskGroup
    connections: list[anyio.CancelScope] = field(default_factory=list)
    callers: list[anyio.CancelScope] = field(default_factory=list)

    def accept(self, stream: MemoryStream) -> None:
        """Serve a stream that another host has opened."""
        scope = anyio.CancelScope()
        self.connections.append(scope)
        self.group.start_soon(self._serve, stream, scope)

    async def _serve(self, stream: MemoryStream, scope: anyio.CancelScope) -> None:
        with scope:
            await self.host.serve(stream)

    def terminate(self) -> None:
        """End the process and cancel its connections and callers."""
        for scope in (self.scope, *self.connections, *self.callers):
            scope.cancel()
        self.gate.release()


def make_queue() -> Queue:
    """Return the queue of all jobs in a simulated system."""
    return Queue(
        QueueName("saldo"),
        "h",
        "/q/",
        SERVICE,
        0,
        3,
        STRETCH,
        timedelta(milliseconds=60),
    )


def make_batch(name: str, width: int = 4, estimate: timedelta = TASK_DURATION) -> Batch:
    """Return a batch of one step whose tasks need `TASK_NEEDS`."""
    return Batch(BatchId(name), "", (Step(width, TASK_NEEDS, estimate),))


@dataclass
class PoolSystem:
    """Start, kill, freeze and partition hosts and minions."""

    group: TaskGroup
    metrics: PoolMetrics
    size: PoolSystemSize = field(default_factory=PoolSystemSize)
    seed: int = 1

    def __post_init__(self) -> None:
        self.clock = LoopClock()
        self.random = Random(self.seed)
        self.store = MemoryStore(self.clock)
        self.network = StreamNetwork(self.clock, self._link_rate)
        self.book = RunRecorder(Work(TASK_NEEDS, TASK_DURATION))
        self.minions: dict[MinionId, LeasedMinion] = {}
        self.listed: list[MinionEntry] = []
        self.hosts: dict[str, RunningHost] = {}
        self.centres = [f"dc{n}" for n in range(self.size.data_centres)]
        for centre in self.centres:
            for number in range(self.size.minions_each):
                minion = self.add_minion(f"{centre}-m{number}", centre)
                minion.slowdown = self.size.slowdowns[number % len(self.size.slowdowns)]
        self.set_config(1)
        self.group.start_soon(
            tick_all, lambda: list(self.minions.values()), self.clock, TICK
        )

    def add_minion(self, name: str, centre: str) -> LeasedMinion:
        """Start a minion and add it to the list of minions."""
        entry = MinionEntry(
            MinionId(name),
            SERVICE,
            DataCentreName(centre),
            name,
            1,
            self.size.capacity,
            (),
            draining=False,
        )
        self.listed.append(entry)
        rate = self.size.minion_clock_rate
        minion = LeasedMinion(entry, self.clock, self.book, clock_rate=rate)
        self.minions[entry.id] = minion
        return minion

    def set_draining(self, name: MinionId) -> None:
        """List a minion as draining; its current runs continue."""
        self.listed = [
            replace(entry, draining=True) if entry.id == name else entry
            for entry in self.listed
        ]

    def set_config(self, version: int, size: int = 0) -> None:
        """Write a configuration slightly larger than `size` bytes, as operators do."""
        text = json.dumps({"version": version, "routes": "r" * size})
        self.store.put(CONFIG_KEY, text.encode())

    def evacuate(self, centre: str, value: bytes = b"{}") -> timedelta:
        """Evacuate `centre`, as an operator does; return the time of the write."""
        self.store.put(EVACUATION_PREFIX + centre, value)
        return self.clock.monotonic()

    def resume(self, centre: str) -> timedelta:
        """Revoke the evacuation of `centre`; return the time of the removal."""
        self.store.remove(EVACUATION_PREFIX + centre)
        return self.clock.monotonic()

    def starts_in(self, centre: str) -> list[timedelta]:
        """Return the times at which tasks started in a data centre."""
        recorded = self.book.recorded_starts
        return [start.at for start in recorded if start.minion.data_centre == centre]

    def start_all(self) -> None:
        """Start every host."""
        for centre in self.centres:
            for number in range(self.size.hosts_each):
                self.start(f"{centre}-h{number}", centre)

    def start(self, name: str, centre: str) -> RunningHost:
        """Start a process on the host called `name`."""
        gate = Gate()
        clock = GatedClock(self.clock, gate)
        store_view = StoreView(self.store, name, clock, self.network.link_to(name))
        calls = LeasedMinions(self.minions, clock, self.group, gate)
        identity = HostIdentity(
            HostName(name),
            DataCentreName(centre),
            new_incarnation(DataCentreName(centre), HostName(name), self.random),
            name,
            1,
            self._power(name),
        )
        dependencies = HostDependencies(
            clock,
            self.random,
            self.clock.monotonic,
            store_view,
            _StoreOperatorSource(store_view),
            _MinionList(store_view, self),
            calls,
            MemoryStreamOpener(self.network, name, clock, gate),
            EventLog(self.metrics),
        )
        centres = frozenset(map(DataCentreName, self.centres))
        host = PoolHost(
            identity,
            dependencies,
            HostTiming(),
            1.5,
            centres,
            prioritize=self.size.prioritize,
        )
        scope = anyio.CancelScope()
        running = RunningHost(host, calls, gate, scope, self.group)
        self.hosts[name] = running
        self.network.listeners[name] = running  # type: ignore[assignment]
        self.group.start_soon(self._run, host, scope)
        return running

    def _power(self, name: str) -> float:
        return STRONG_HOST_POWER if self._is_strong(name) else 1.0

    def _link_rate(self, name: str) -> float | None:
        rate = self.size.link_rate
        if rate is None or not self._is_strong(name):
            return rate
        return rate * STRONG_HOST_LINK_FACTOR

    def _is_strong(self, name: str) -> bool:
        return int(name.rpartition("-h")[2]) < self.size.strong_each

    async def _run(self, host: PoolHost, scope: anyio.CancelScope) -> None:
        with scope:
            await host.run()

    def kill(self, name: str) -> None:
        """Kill a process and reset its connections."""
        running = self.hosts.pop(name)
        running.terminate()
        self.network.listeners.pop(name, None)
        self.network.reset(name)

    def owner(self, centre: int = 0) -> str:
        """Return the name of the host that owns the pool of a data centre."""
        names = [
            name
            for name, running in self.hosts.items()
            if running.host.owner is not None
            and running.host.identity.data_centre == self.centres[centre]
        ]
        # A partitioned host may still believe that it owns the pool; the true owner has
        # the highest fencing token.
        return max(names, key=lambda n: self.hosts[n].host.owner.token)  # type: ignore[union-attr]

    def non_owner(self, centre: int = 0) -> str:
        """Return the name of a host that does not own the pool of its data centre."""
        owner = self.owner(centre)
        return next(
            name
            for name, running in sorted(self.hosts.items())
            if name != owner
            and running.host.identity.data_centre == self.centres[centre]
        )

    async def settle(self) -> None:
        """Wait until every data centre should have an owner that knows its minions."""
        await self.clock.sleep(timedelta(seconds=1))

    async def submit(
        self, name: str, batch: Batch, timeout: timedelta = timedelta(seconds=3)
    ) -> BatchResult:
        """Submit a batch to the host called `name` and return its result."""
        coordinator = self.hosts[name].host.coordinator
        return await coordinator.run(batch, make_queue(), timeout)


__all__ = [
    "CONFIG_KEY",
    "STRETCH",
    "TASK_DURATION",
    "TASK_NEEDS",
    "PoolSystem",
    "PoolSystemSize",
    "RunningHost",
    "make_batch",
    "make_queue",
]
