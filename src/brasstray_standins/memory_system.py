"""Build a complete system in memory: platform, entry hosts and minions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from random import Random
from typing import TYPE_CHECKING, Any

import anyio

from brasstray.clock.loop import LoopClock
from brasstray.dispatch.policies import ShortestRemainingFirst, SlotCredits
from brasstray.entry.config import EntryConfig
from brasstray.entry.entry_host import EntryHost
from brasstray.entry.entry_host_dependencies import EntryHostDependencies
from brasstray.entry.service import Service
from brasstray.entry.timing import EntryTiming
from brasstray.job.ids import CallerName, DataCentreName, HostName, ServiceName
from brasstray.job.incarnation import new_incarnation
from brasstray.job.key import CallerKey
from brasstray.job.request import JobRequest
from brasstray.metrics.entry_metrics import InMemoryMetrics
from brasstray.store.errors import StoreUnavailableError
from brasstray.store.host_kind import HostKind
from brasstray.store.listed_host import ListedHost
from brasstray_standins.gate import Gate, GatedClock, GatedProxy
from brasstray_standins.memory_minions import MemoryMinions
from brasstray_standins.memory_network import MemoryNetwork
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.minion import StandInMinion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from brasstray.dispatch.policies import OrderPolicy, SlotPolicy
    from brasstray.job.answer import Answer

CALLER = CallerName("branch-12")
LEAVE = ServiceName("verlofdienst")
RERUN = ServiceName("herrekening")
START_TIME = datetime(2026, 12, 31, 8, 0, tzinfo=UTC)


class CallerDisconnectedError(Exception):
    """Report that the process that a caller was connected to has ended."""


@dataclass(frozen=True)
class SystemSize:
    """Hold the number of data centres, and of hosts, minions and slots in each."""

    data_centres: int = 1
    hosts_each: int = 3
    minions_each: int = 4
    slots: int = 8


class MemorySystem:
    """Run entry hosts that can be killed, paused and partitioned individually."""

    def __init__(
        self,
        group: TaskGroup,
        size: SystemSize | None = None,
        seed: int = 1,
        timing: EntryTiming | None = None,
        slots: SlotPolicy | None = None,
        order: OrderPolicy | None = None,
    ) -> None:
        self._slots = slots or SlotCredits()
        self._order = order or ShortestRemainingFirst()
        self._group = group
        self._size = size or SystemSize()
        self._random = Random(seed)
        self._timing = timing or EntryTiming()
        self.clock = LoopClock(START_TIME)
        self.platform = MemoryPlatform(self.clock)
        self.network = MemoryNetwork(self.clock)
        self.counts = InMemoryMetrics()
        self.data_centres = tuple(
            DataCentreName(f"dc-{number}") for number in range(self._size.data_centres)
        )
        self.minions: dict[str, StandInMinion] = {}
        self.hosts: dict[HostName, EntryHost] = {}
        self._scopes: dict[HostName, anyio.CancelScope] = {}
        self._gates: dict[HostName, Gate] = {}
        self._groups: dict[HostName, TaskGroup] = {}
        self._without_platform: set[HostName] = set()
        self._listed: list[ListedHost] = []
        self._build()
        self.starts = MemoryMinions(self.minions, self.clock)

    def _build(self) -> None:
        for centre in self.data_centres:
            for number in range(self._size.hosts_each):
                name = f"{centre}-entry-{number}"
                self._add_to_list(
                    ListedHost(name=name, kind=HostKind.ENTRY, **_location(centre))
                )
            for number in range(self._size.minions_each):
                name = f"{centre}-minion-{number}"
                self.minions[name] = StandInMinion(name, self.clock, self._size.slots)
                for service in (LEAVE, RERUN):
                    listed = ListedHost(
                        name=name,
                        kind=HostKind.MINION,
                        service=service,
                        **_location(centre),
                    )
                    self._add_to_list(
                        listed.model_copy(update={"slots": self._size.slots})
                    )

    def _add_to_list(self, host: ListedHost) -> None:
        self._listed.append(host)
        self.platform.list_hosts(self._listed)

    def set_listed_hosts(self, hosts: list[ListedHost]) -> None:
        """Replace the platform's host list."""
        self._listed = hosts
        self.platform.list_hosts(hosts)

    @property
    def listed(self) -> list[ListedHost]:
        """Return the platform's host list."""
        return list(self._listed)

    def start_all(self) -> None:
        """Start every listed entry host."""
        for listed in self._listed:
            if listed.kind is HostKind.ENTRY:
                self.start(HostName(listed.name))

    def start(self, name: HostName) -> EntryHost:
        """Start a new incarnation on the host called `name`."""
        centre = next(h.data_centre for h in self._listed if h.name == name)
        random = Random(self._random.getrandbits(64))
        config = EntryConfig(
            data_centre=centre,
            host=name,
            incarnation=new_incarnation(centre, name, random),
            data_centres=self.data_centres,
            services={LEAVE: Service(LEAVE, False), RERUN: Service(RERUN, True)},
            slots=self._slots,
            order=self._order,
            timing=replace(self._timing),
        )
        gate = self._gates[name] = Gate()
        platform = GatedProxy(_PlatformView(self, name), gate)
        dependencies = EntryHostDependencies(
            GatedClock(self.clock, gate),
            random,
            platform,
            platform,
            GatedProxy(self.network.peers_of(config.incarnation, name), gate),
            GatedProxy(self.starts, gate),
            self.counts.metrics(name),
        )
        host = EntryHost(config, dependencies)
        self.hosts[name] = host
        self._scopes[name] = anyio.CancelScope()
        self._group.start_soon(self._run, host, self._scopes[name])
        return host

    async def _run(self, host: EntryHost, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                self._groups[host.config.host] = group
                self.network.add(host, group, self._gates[host.config.host])
                await host.run()

    def kill(self, name: HostName) -> None:
        """Kill the process on the host called `name` without a graceful shutdown."""
        self.network.remove(name)
        self._scopes[name].cancel()
        self.hosts.pop(name, None)

    def pause(self, name: HostName) -> None:
        """Suspend the process on the host called `name`, as SIGSTOP would."""
        self._gates[name].close()

    def resume(self, name: HostName) -> None:
        """Resume a suspended process."""
        self._gates[name].open()

    def end(self) -> None:
        """Resume every suspended process, so that it can be cancelled."""
        for gate in self._gates.values():
            gate.release()

    def isolate(self, names: set[HostName]) -> None:
        """Partition `names` from every other entry host."""
        for member in names:
            for other in set(self.hosts) - names:
                self.network.cut(member, other)

    def set_platform_unreachable_for(self, names: set[HostName]) -> None:
        """Make the platform unreachable for `names`, and reachable for all others."""
        self._without_platform = names

    def reaches_platform(self, name: HostName) -> bool:
        """Return whether the host called `name` can reach the platform."""
        return name not in self._without_platform

    def host(self, number: int, centre: int = 0) -> EntryHost:
        """Return the entry host with the given number in a data centre."""
        return self.hosts[HostName(f"dc-{centre}-entry-{number}")]

    def name(self, number: int, centre: int = 0) -> HostName:
        """Return the name of the entry host with the given number in a data centre."""
        return HostName(f"dc-{centre}-entry-{number}")

    def leader(self, centre: int = 0) -> EntryHost | None:
        """Return the host that leads the journal of a data centre, if there is one."""
        for host in self.hosts.values():
            if host.config.data_centre != self.data_centres[centre]:
                continue
            leader = host.journal_service.leader
            if leader is not None and not leader.writer.deposed:
                return host
        return None

    def non_leader(self, *others: EntryHost, centre: int = 0) -> EntryHost:
        """Return a host of a data centre that is neither its leader nor in `others`."""
        for host in self.hosts.values():
            in_centre = host.config.data_centre == self.data_centres[centre]
            if in_centre and host is not self.leader(centre) and host not in others:
                return host
        raise LookupError("every host is the leader or excluded")

    async def settle(self) -> None:
        """Wait until every data centre has a leader."""
        while any(self.leader(n) is None for n in range(len(self.data_centres))):
            await self.clock.sleep(timedelta(milliseconds=100))
        await self.clock.sleep(2 * self._timing.suspect_after)

    def key(self, name: str, centre: int = 0) -> str:
        """Return a key chosen by the caller, whose home is the given data centre."""
        expires = (self.clock.now() + timedelta(hours=2)).replace(microsecond=0)
        return CallerKey(expires, self.data_centres[centre], name).text()

    async def submit(
        self, host: EntryHost, key: str | None, request: JobRequest, wait: float = 60
    ) -> Answer:
        """Submit a job as `CALLER` and wait up to `wait` seconds for its answer.

        Raise CallerDisconnectedError if the host's process ends before it answers.
        """
        timeout = timedelta(seconds=wait)
        return await self._call_host(
            host, lambda: host.jobs.submit(CALLER, key, request, timeout)
        )

    async def fetch(self, host: EntryHost, key: str, wait: float = 0) -> Answer:
        """Fetch the answer to a job as `CALLER`, waiting up to `wait` seconds."""
        timeout = timedelta(seconds=wait)
        return await self._call_host(
            host, lambda: host.jobs.fetch(CALLER, key, timeout)
        )

    async def cancel(self, host: EntryHost, key: str) -> Answer:
        """Cancel a job as `CALLER`."""
        return await self._call_host(host, lambda: host.jobs.cancel(CALLER, key))

    async def _call_host(
        self, host: EntryHost, call: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        name = host.config.host
        if self.hosts.get(name) is not host:
            raise CallerDisconnectedError(name)
        gate, ended = self._gates[name], anyio.Event()
        answers: list[Answer] = []

        async def run() -> None:
            try:
                await gate.wait()
                answers.append(await call())
                await gate.wait()
            finally:
                ended.set()

        self._groups[name].start_soon(run)
        await ended.wait()
        if not answers or self.hosts.get(name) is not host:
            raise CallerDisconnectedError(name)
        return answers[0]

    def starts_of(self, key: str) -> dict[str, int]:
        """Return the number of starts of each task of a job."""
        starts: dict[str, int] = {}
        for minion in self.minions.values():
            for task, count in minion.starts.items():
                if f"/{key}/" in task:
                    starts[task] = starts.get(task, 0) + count
        return starts


class _PlatformView:
    def __init__(self, system: MemorySystem, host: HostName) -> None:
        self._system = system
        self._host = host

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._system.platform, name)

        async def call(*args: Any) -> Any:
            if not self._system.reaches_platform(self._host):
                raise StoreUnavailableError(f"{self._host} cannot reach the platform")
            return await method(*args)

        return call


def leave_job(tasks: int, run_ms: int = 100, **changes: object) -> JobRequest:
    """Return a leave settlement job, whose tasks must not be repeated."""
    body = {
        "service": LEAVE,
        "period": "2026-12",
        "tasks": [{"payload": {"run_ms": run_ms, "n": n}} for n in range(tasks)],
    }
    return JobRequest.model_validate(body | changes)


def _location(centre: DataCentreName) -> dict:
    return {"data_centre": centre, "address": "127.0.0.1", "port": 1}


__all__ = [
    "CALLER",
    "CallerDisconnectedError",
    "LEAVE",
    "RERUN",
    "START_TIME",
    "MemorySystem",
    "SystemSize",
    "leave_job",
]
