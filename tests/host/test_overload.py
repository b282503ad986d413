"""Check which jobs are refused, and when, under more load than the minions can take.

The load is that of the last hour before a closing: jobs of short tasks at a third above
the capacity of the minions, for some seconds. The jobs are balance enquiries: tasks of
60 ms, an objective of 156 ms, and callers who wait for two seconds.
"""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray.batch.outcome import BatchOutcome
from brasstray_standins.pool_system import PoolSystemSize, make_batch

SIZE = PoolSystemSize(data_centres=1, minions_each=4)
JOBS = 150
TASKS = 4
# Eight concurrent tasks of 60 ms are 133 tasks a second, or 33 jobs of four tasks.
CAPACITY_PER_S = 33
OBJECTIVE = timedelta(milliseconds=156)


def overload(system, factor):
    async def run():
        results = []

        async def submit(number):
            name = sorted(system.hosts)[number % 3]
            began = system.clock.monotonic()
            batch = make_batch(f"{number:016x}", TASKS)
            result = await system.submit(name, batch, timedelta(seconds=2))
            results.append((result, system.clock.monotonic() - began))

        async with anyio.create_task_group() as group:
            for number in range(JOBS):
                group.start_soon(submit, number)
                pause = timedelta(seconds=1 / (CAPACITY_PER_S * factor))
                await system.clock.sleep(pause)
        return results

    return run()


@pytest.mark.parametrize("factor", [0.8, 1.3, 2.0])
def test_overload_is_refused_early_and_the_rest_is_in_time(play_pools, factor):
    results, system = play_pools(lambda system: overload(system, factor), SIZE)
    assert len(results) == JOBS
    served = [took for r, took in results if r.outcome is BatchOutcome.SUCCEEDED]
    refused = [took for r, took in results if r.outcome is BatchOutcome.NOT_RUN]
    in_time = [took for took in served if took <= OBJECTIVE]
    assert system.book.broken == []
    # No caller waits for an answer that is no longer useful.
    assert len(served) + len(refused) == JOBS
    assert all(took <= OBJECTIVE * 3.5 for took in served + refused)
    # At least 70% of the jobs that the capacity allows are served in time.
    possible = min(JOBS, JOBS / factor)
    assert len(in_time) >= possible * 0.7
    started = {name.batch for name in system.book.starts}
    assert len(started) == len(served)


def test_a_refused_caller_is_told_when_to_retry(play_pools):
    results, _ = play_pools(lambda system: overload(system, 2.0), SIZE)
    waits = [r.retry_after for r, _ in results if r.outcome is BatchOutcome.NOT_RUN]
    assert waits
    assert all(wait >= timedelta(seconds=1) for wait in waits)
