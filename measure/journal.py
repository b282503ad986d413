"""Measure the journal's overhead per job, and the benefit of its replicas."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.job.outcome import Outcome
from brasstray_standins.memory_system import MemorySystem, SystemSize, leave_job
from measure.virtual import run_virtual

if TYPE_CHECKING:
    from brasstray.job.ids import HostName

RUN_MS = 100
JOBS = 200
JOBS_AFTER_TAKEOVER = 40


@dataclass(frozen=True)
class JournalRow:
    """Hold the costs of one way of submitting jobs."""

    case: str
    jobs_per_second: int
    answered_complete: float
    median_overhead_ms: float
    platform_writes_per_job: float


async def _submit_many(
    system: MemorySystem, rate: int, minted: bool, jobs: int = JOBS
) -> tuple[list[float], int]:
    overheads: list[float] = []
    hosts = list(system.hosts.values())

    async def submit(number: int) -> None:
        host = hosts[number % len(hosts)]
        key = host.jobs.mint().text() if minted else system.key(f"job-{number}")
        started_at = anyio.current_time()
        answer = await system.submit(host, key, leave_job(1, RUN_MS), wait=10)
        if answer.outcome is Outcome.COMPLETE:
            overheads.append((anyio.current_time() - started_at) * 1_000 - RUN_MS)

    async with anyio.create_task_group() as group:
        for number in range(jobs):
            group.start_soon(submit, number)
            await anyio.sleep(1 / rate)
    return overheads, jobs


def _writes(system: MemorySystem) -> int:
    leader = system.leader()
    journal_leader = leader.journal_service.leader if leader else None
    return journal_leader.writer.writes if journal_leader else 0


async def _measure_case(seed: int, name: str, rate: int, minted: bool, down: bool):
    async with anyio.create_task_group() as group:
        system = MemorySystem(group, SystemSize(hosts_each=3, minions_each=16), seed)
        system.start_all()
        await system.settle()
        if down:
            system.platform.faults.down = True
            await system.clock.sleep(timedelta(seconds=5))
        before = _writes(system)
        overheads, jobs = await _submit_many(system, rate, minted)
        row = JournalRow(
            case=name,
            jobs_per_second=rate,
            answered_complete=len(overheads) / jobs,
            median_overhead_ms=sorted(overheads)[len(overheads) // 2],
            platform_writes_per_job=(_writes(system) - before) / jobs,
        )
        group.cancel_scope.cancel()
    return row


async def _measure_leader_loss(seed: int, with_replicas: bool) -> JournalRow:
    async with anyio.create_task_group() as group:
        system = MemorySystem(group, SystemSize(hosts_each=5, minions_each=16), seed)
        system.start_all()
        await system.settle()
        system.platform.faults.down = True
        await _submit_many(system, 10, minted=False, jobs=20)
        leader = system.leader()
        assert leader is not None
        journal_leader = leader.journal_service.leader
        assert journal_leader is not None
        lost: list[HostName] = [leader.config.host]
        if not with_replicas:
            lost += [
                replica.split(".")[1] for replica in journal_leader.writer.replicas
            ]
        for name in lost:
            system.kill(name)
        system.platform.faults.down = False
        await system.clock.sleep(timedelta(seconds=15))
        done = 0
        for number in range(JOBS_AFTER_TAKEOVER):
            host = list(system.hosts.values())[number % len(system.hosts)]
            key = system.key(f"fresh-{number}")
            answer = await system.submit(host, key, leave_job(1, RUN_MS), wait=10)
            done += answer.outcome is Outcome.COMPLETE
        name = "leader lost in an outage, " + (
            "copies on replicas" if with_replicas else "no copy left"
        )
        row = JournalRow(
            name, 0, done / JOBS_AFTER_TAKEOVER, float("nan"), float("nan")
        )
        group.cancel_scope.cancel()
    return row


def run(seed: int) -> list[JournalRow]:
    """Return one row for each way of submitting, rate and loss of a leader."""
    rows = []
    for rate in (1, 10, 50, 200):
        for name, minted, down in (
            ("own key", False, False),
            ("minted key", True, False),
            ("own key, platform down", False, True),
        ):
            case = lambda: _measure_case(seed, name, rate, minted, down)  # noqa: B023, E731
            rows.append(run_virtual(seed, case))
    for with_replicas in (True, False):
        case = lambda: _measure_leader_loss(seed, with_replicas)  # noqa: B023, E731
        rows.append(run_virtual(seed, case))
    return rows


__all__ = ["run"]
