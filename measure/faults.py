"""Compare the dispatch policies while minions, hosts or the platform fail."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import anyio

from brasstray_standins.memory_system import CallerDisconnectedError
from brasstray_standins.minion import MinionMode
from measure.routing import POLICIES, WORKERS
from measure.trial import Trial
from measure.workload import VAKANTIEHUIS, Site, draw_jobs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from brasstray_standins.memory_system import MemorySystem

LOAD = 0.8
SECONDS = 6.0
FAULT_AT = timedelta(seconds=2)
COMPARED_POLICIES = ("naive", "two choices", "credits, shortest left")


@dataclass(frozen=True)
class FaultRow:
    """Hold the results of one policy under one fault."""

    fault: str
    policy: str
    complete: float
    p50_over_ideal: float
    p99_over_ideal: float
    wasted_per_task: float
    second_starts: int
    partial_answers: int


async def no_fault(system: MemorySystem) -> None:
    """Inject no fault."""


async def failing_minion(system: MemorySystem) -> None:
    """Let one minion fail every task that it receives."""
    await system.clock.sleep(FAULT_AT)
    system.minions["dc-0-minion-0"].mode = MinionMode.FAILING


async def dead_minion(system: MemorySystem) -> None:
    """Kill one minion and the tasks that it runs."""
    await system.clock.sleep(FAULT_AT)
    system.minions["dc-0-minion-0"].kill()


async def slow_minion(system: MemorySystem) -> None:
    """Make one minion of eight ten times slower."""
    system.minions["dc-0-minion-0"].slowdown = 10.0


async def killed_host(system: MemorySystem) -> None:
    """Kill one of three entry hosts, and restart it after a second."""
    await system.clock.sleep(FAULT_AT)
    name = system.non_leader().config.host
    system.kill(name)
    await system.clock.sleep(timedelta(seconds=1))
    system.start(name)


async def drained_host(system: MemorySystem) -> None:
    """Drain one of three entry hosts, and restart it."""
    await system.clock.sleep(FAULT_AT)
    host = system.non_leader()
    await host.drain()
    system.kill(host.config.host)
    system.start(host.config.host)


async def cancel_all_jobs(system: MemorySystem) -> None:
    """Cancel all running jobs at the same time, through other hosts."""
    await system.clock.sleep(FAULT_AT)
    async with anyio.create_task_group() as group:
        for host in system.hosts.values():
            for run in host.executions.runs:
                group.start_soon(_cancel, system, run.job.key)


async def _cancel(system: MemorySystem, key: str) -> None:
    try:
        await system.cancel(system.non_leader(), key)
    except CallerDisconnectedError:
        return


async def platform_down(system: MemorySystem) -> None:
    """Make the platform unavailable for three seconds."""
    await system.clock.sleep(FAULT_AT)
    system.platform.faults.down = True
    await system.clock.sleep(timedelta(seconds=3))
    system.platform.faults.down = False


FAULTS: dict[str, Callable[[MemorySystem], Awaitable[None]]] = {
    "none": no_fault,
    "a minion fails everything": failing_minion,
    "a minion dies": dead_minion,
    "a minion is 10 times slow": slow_minion,
    "a third of the hosts is killed": killed_host,
    "a third of the hosts leaves": drained_host,
    "all running jobs are cancelled": cancel_all_jobs,
    "the platform is down for 3 s": platform_down,
}


def _row(site: Site, fault: str, policy: str, seed: int) -> FaultRow:
    jobs = draw_jobs(site, LOAD, SECONDS, Random(seed))
    slots, order = POLICIES[policy]
    result = Trial(site, jobs, slots, order, seed, FAULTS[fault]).run()
    return FaultRow(
        fault,
        policy,
        result.complete,
        result.p50_over_ideal,
        result.p99_over_ideal,
        result.wasted_per_task,
        result.second_starts,
        result.partial_answers,
    )


def run(seed: int) -> list[FaultRow]:
    """Return one row for each fault and policy, all on the same stream of jobs."""
    cases = [
        (VAKANTIEHUIS, fault, policy, seed)
        for fault in FAULTS
        for policy in COMPARED_POLICIES
    ]
    with ProcessPoolExecutor(WORKERS) as workers:
        return list(workers.map(_row, *zip(*cases, strict=True)))


__all__ = ["FAULTS", "FaultRow", "run"]
