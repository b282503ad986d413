"""Check that a job that no minion can ever run is answered at once and harms nobody."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest

from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray.batch.resources import Resources
from brasstray_standins.pool_system import make_batch

JOBS = 20


# Guards against one job that ends a host, is sent again to the next one, and ends that
# as well, with all jobs there.
@pytest.mark.parametrize(
    "needs",
    [
        Resources(2**63 - 1, 64),
        Resources(10**9, 64),
        Resources(1_000, 2**63 - 1),
        Resources(1_000, 64, 2**63 - 1),
        Resources(10**400, 64),
    ],
    ids=["cpu", "less cpu", "memory", "gpus", "beyond any word"],
)
def test_an_impossible_job_has_failed_at_once(play_pools, needs):
    async def scenario(system):
        results = {}

        async def submit(number):
            batch = make_batch(f"{number:016x}", 4)
            if number == JOBS // 2:
                steps = tuple(replace(step, needs=needs) for step in batch.steps)
                batch = replace(batch, steps=steps)
            name = sorted(system.hosts)[number % len(system.hosts)]
            began = system.clock.monotonic()
            result = await system.submit(name, batch, timedelta(seconds=2))
            results[number] = result, system.clock.monotonic() - began

        async with anyio.create_task_group() as group:
            for number in range(JOBS):
                group.start_soon(submit, number)
                await system.clock.sleep(timedelta(milliseconds=150))
        return results

    results, system = play_pools(scenario)
    failed, took = results.pop(JOBS // 2)
    assert failed.outcome is BatchOutcome.FAILED
    assert failed.reason is GiveUpReason.IMPOSSIBLE
    assert took <= timedelta(milliseconds=10)
    assert {r.outcome for r, _ in results.values()} == {BatchOutcome.SUCCEEDED}
    assert system.book.broken == []
