"""Check that a large job is bounded in what it costs a host and its other callers."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import anyio
import pytest

from brasstray.batch.batch import Batch
from brasstray.batch.ids import BatchId
from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray.batch.resources import Resources
from brasstray.batch.step import Step
from brasstray.coordinator.coordinator import MAX_RETRY_AFTER, MIN_TASK_TIME
from brasstray.pool.dispatcher import MAX_STARTS_IN_FLIGHT
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import PoolSystemSize, make_batch

SMALL_NEEDS = Resources(100, 8)
SHORT = timedelta(milliseconds=50)
TIMEOUT = timedelta(milliseconds=1_500)
JOBS = 8
CENTRES = 2


def large_batch(steps, count):
    return Batch(
        BatchId("f" * 16), "x" * 4_000, (Step(count, SMALL_NEEDS, SHORT),) * steps
    )


async def run_beside_small_jobs(system, batch, name):
    """Return the result of `batch` and how long it took, and the other results."""
    others, large = [], []

    async def submit_small(number):
        host = sorted(system.hosts)[number % len(system.hosts)]
        others.append(await system.submit(host, make_batch(f"{number:016x}", 2)))

    async def submit_large():
        began = system.clock.monotonic()
        result = await system.submit(name, batch, TIMEOUT)
        large.append((result, system.clock.monotonic() - began))

    async with anyio.create_task_group() as group:
        group.start_soon(submit_large)
        for number in range(JOBS):
            group.start_soon(submit_small, number)
            await system.clock.sleep(SHORT * 4)
    return *large[0], others


# Guards against a job with more tasks than its caller can wait for: it is known when it
# arrives, and must not keep owners from all other jobs until its deadline.
@pytest.mark.parametrize("seed", range(10))
def test_a_job_with_too_many_tasks_is_refused_at_once(play_pools, seed):
    random = Random(seed)
    least = TIMEOUT * CENTRES // MIN_TASK_TIME + 1
    tasks = random.randint(least, 2 * least)
    steps = random.choice([1, 20, tasks])
    batch = large_batch(steps, -(-tasks // steps))

    async def scenario(system):
        return await run_beside_small_jobs(system, batch, system.non_owner())

    size = PoolSystemSize(data_centres=CENTRES)
    (result, took, others), system = play_pools(scenario, size, seed)
    assert result.outcome is BatchOutcome.NOT_RUN
    assert result.reason is GiveUpReason.OVERLOADED
    assert result.retry_after == MAX_RETRY_AFTER
    assert took == timedelta(0)
    assert {other.outcome for other in others} == {BatchOutcome.SUCCEEDED}
    assert all(task.batch != batch.id for task in system.book.starts)


# Guards against "not run" for a job that is at work: its caller has sent it again, with
# less time than it takes.
def test_a_large_job_that_is_active_is_not_refused(play_pools):
    batch = large_batch(1, 600)
    results = []

    async def scenario(system):
        system.book.default_work = Work(SMALL_NEEDS, SHORT)

        async def submit(timeout):
            results.append(await system.submit(system.owner(), batch, timeout))

        async with anyio.create_task_group() as group:
            group.start_soon(submit, TIMEOUT)
            await system.clock.sleep(SHORT / 2)
            group.start_soon(submit, SHORT)

    size = PoolSystemSize(data_centres=1, minions_each=8)
    play_pools(scenario, size)
    assert [result.outcome for result in results] == [BatchOutcome.SUCCEEDED] * 2


# Guards against a large job whose starts open a connection each: their responses are
# read too late, and each is settled by further calls.
@pytest.mark.parametrize("at_owner", [True, False], ids=["owner", "other"])
@pytest.mark.parametrize(("steps", "count"), [(1, 600), (600, 1), (30, 20)])
def test_starts_without_a_response_are_limited(play_pools, steps, count, at_owner):
    in_flight, most = 0, 0

    def count_starts(calls):
        start = calls.start

        async def start_counted(*args):
            nonlocal in_flight, most
            in_flight += 1
            most = max(most, in_flight)
            try:
                return await start(*args)
            finally:
                in_flight -= 1

        calls.start = start_counted

    async def scenario(system):
        system.book.default_work = Work(SMALL_NEEDS, SHORT)
        name = system.owner() if at_owner else system.non_owner()
        count_starts(system.hosts[system.owner()].calls)
        batch = large_batch(steps, count)
        return await run_beside_small_jobs(system, batch, name)

    size = PoolSystemSize(data_centres=1, minions_each=8)
    (result, _, others), system = play_pools(scenario, size)
    assert result.outcome is BatchOutcome.SUCCEEDED
    assert {other.outcome for other in others} == {BatchOutcome.SUCCEEDED}
    assert most <= MAX_STARTS_IN_FLIGHT
    assert system.book.broken == []
