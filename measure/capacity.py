"""Measure how costs grow with load, as the basis of the capacity estimates."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import anyio
import numpy

from brasstray.clock.loop import LoopClock
from brasstray.job.ids import CallerName, DataCentreName, IncarnationId, KeyText
from brasstray.job.job_id import JobId
from brasstray.job.outcome import Outcome
from brasstray.journal.journal import Journal
from brasstray.journal.records import JobAnswered, KeyBound
from brasstray.journal.segment import Segment
from brasstray.journal.state import JournalState
from brasstray.journal.takeover import Takeover
from brasstray.journal.timing import JournalTiming
from brasstray_standins.memory_platform import MemoryPlatform
from brasstray_standins.memory_system import START_TIME, MemorySystem, SystemSize
from brasstray_standins.no_replicas import NoReplicas
from measure.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

HOST_COUNTS = (4, 8, 16, 24)
MINION_COUNTS = (32, 128, 333)
BIND_COUNTS = (1_000, 4_000, 10_000)
COMMIT_BATCH_SIZE = 100
KEY_COUNTS = (5_000, 20_000, 50_000)
IDLE_SECONDS = 20.0
SLOTS = 8


@dataclass(frozen=True)
class SlopeRow:
    """Hold a line fitted to measured points, and the largest deviation from it."""

    what: str
    unit: str
    measured: str
    intercept: float
    slope: float
    worst_error: float


@dataclass(frozen=True)
class IdleCost:
    """Hold the control traffic and CPU time of one idle host per second."""

    messages: float
    kilobytes: float
    cpu_ms: float
    platform_calls: float


async def _measure_idle(seed: int, hosts: int, minions: int) -> IdleCost:
    async with anyio.create_task_group() as group:
        system = MemorySystem(group, SystemSize(1, hosts, minions, SLOTS), seed)
        system.start_all()
        await system.settle()
        messages_before = system.network.calls.total()
        bytes_before = system.network.bytes.total()
        calls_before, started_at = system.platform.calls, time.process_time()
        await system.clock.sleep(timedelta(seconds=IDLE_SECONDS))
        cpu_seconds = time.process_time() - started_at
        host_seconds = hosts * IDLE_SECONDS
        cost = IdleCost(
            # Each call counts twice: one host sends it and another one handles it.
            messages=2
            * (system.network.calls.total() - messages_before)
            / host_seconds,
            kilobytes=2
            * (system.network.bytes.total() - bytes_before)
            / host_seconds
            / 1_000,
            cpu_ms=cpu_seconds / host_seconds * 1_000,
            platform_calls=(system.platform.calls - calls_before) / host_seconds,
        )
        system.end()
        group.cancel_scope.cancel()
    return cost


def _fit_line(what: str, unit: str, points: dict[int, float]) -> SlopeRow:
    xs, ys = list(points), list(points.values())
    slope, intercept = numpy.polyfit(xs, ys, 1)
    errors = [abs(intercept + slope * x - y) for x, y in points.items()]
    measured = ", ".join(f"{x}: {y:.4g}" for x, y in points.items())
    return SlopeRow(what, unit, measured, float(intercept), float(slope), max(errors))


def _record_pair(number: int) -> tuple[KeyBound, JobAnswered]:
    key = KeyText(f"own~20261231T120000Z~utrecht-a~leave-{number:08d}")
    job = JobId(caller=CallerName(f"filiaal-{number % 400}"), key=key)
    executor = IncarnationId("utrecht-a.entry-0.0123456789ab")
    expires = START_TIME + timedelta(hours=4)
    digest = f"{number:032x}"
    bound = KeyBound(
        job=job, digest=digest, executor=executor, task_count=9, expires=expires
    )
    answered = JobAnswered(
        job=job,
        executor=executor,
        outcome=Outcome.COMPLETE,
        digest=digest,
        expires=expires,
    )
    return bound, answered


def _journal_bytes(count: int) -> float:
    tracemalloc.start()
    state = JournalState()
    for number in range(count):
        for record in _record_pair(number):
            state.apply(record)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 1e6


def _segment_bytes(count: int) -> float:
    records = [record for n in range(count) for record in _record_pair(n)]
    segment = Segment(
        term=1,
        writer=IncarnationId("utrecht-a.entry-0.0123456789ab"),
        token="0" * 16,
        horizon=START_TIME,
        accept_until=START_TIME,
        records=records,
    )
    return len(segment.model_dump_json()) / 1e6


async def _commit_cpu_seconds(count: int) -> float:
    clock = LoopClock(START_TIME)
    platform = MemoryPlatform(clock)
    journal = Journal(platform, DataCentreName("utrecht-a"))
    takeover = Takeover(journal, NoReplicas(), clock, Random(1), JournalTiming())
    async with anyio.create_task_group() as group:
        leader = await takeover.run(IncarnationId("utrecht-a.entry-0.1"), 0)
        group.start_soon(leader.writer.run)
        pairs = [_record_pair(number) for number in range(count)]
        started_at = time.process_time()
        for first in range(0, count, COMMIT_BATCH_SIZE):
            async with anyio.create_task_group() as batch:
                for bound, _ in pairs[first : first + COMMIT_BATCH_SIZE]:
                    batch.start_soon(leader.bind, bound)
        cpu_seconds = time.process_time() - started_at
        group.cancel_scope.cancel()
    return cpu_seconds


def run(seed: int) -> list[SlopeRow]:
    """Return one row for each fitted line."""

    def idle(hosts: int, minions: int) -> IdleCost:
        return run_virtual(seed, lambda: _measure_idle(seed, hosts, minions))

    by_hosts = {hosts: idle(hosts, 64) for hosts in HOST_COUNTS}
    by_minions = {minions: idle(8, minions) for minions in MINION_COUNTS}

    def values_by_size(costs: dict[int, IdleCost], pick: Callable[[IdleCost], float]):
        return {x: pick(cost) for x, cost in costs.items()}

    return [
        _fit_line(
            "leader's CPU, by records committed in batches of 100",
            "s",
            {
                n: run_virtual(seed, partial(_commit_cpu_seconds, n))
                for n in BIND_COUNTS
            },
        ),
        _fit_line(
            "control messages per host and second, by hosts in the data centre",
            "messages/s",
            values_by_size(by_hosts, lambda cost: cost.messages),
        ),
        _fit_line(
            "control bytes per host and second, by hosts",
            "KB/s",
            values_by_size(by_hosts, lambda cost: cost.kilobytes),
        ),
        _fit_line(
            "control CPU per host and second, by hosts, without sockets",
            "ms/s",
            values_by_size(by_hosts, lambda cost: cost.cpu_ms),
        ),
        _fit_line(
            "platform calls per host and second, by hosts",
            "calls/s",
            values_by_size(by_hosts, lambda cost: cost.platform_calls),
        ),
        _fit_line(
            "control bytes per host and second, by minions, 8 hosts",
            "KB/s",
            values_by_size(by_minions, lambda cost: cost.kilobytes),
        ),
        _fit_line(
            "control CPU per host and second, by minions, 8 hosts, without sockets",
            "ms/s",
            values_by_size(by_minions, lambda cost: cost.cpu_ms),
        ),
        _fit_line(
            "leader's memory, by keys remembered with binding and answer",
            "MB",
            {count: _journal_bytes(count) for count in KEY_COUNTS},
        ),
        _fit_line(
            "journal's size in the platform, by keys",
            "MB",
            {count: _segment_bytes(count) for count in KEY_COUNTS},
        ),
    ]


__all__ = ["SlopeRow", "run"]
