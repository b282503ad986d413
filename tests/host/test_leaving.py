"""Check how a draining host handles the requests that still arrive."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from brasstray.batch.outcome import BatchOutcome, GiveUpReason
from brasstray_standins.leased_minion import Work
from brasstray_standins.pool_system import (
    TASK_NEEDS,
    PoolSystemSize,
    make_batch,
    make_queue,
)

TIMEOUT = timedelta(seconds=3)
GRACE = timedelta(seconds=2)


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize(
    ("left_ms", "duration_ms", "outcome", "reason"),
    [
        (1_500, 300, BatchOutcome.SUCCEEDED, None),
        (200, 300, BatchOutcome.NOT_RUN, GiveUpReason.STOPPING),
        (0, 60, BatchOutcome.NOT_RUN, GiveUpReason.STOPPING),
        (-100, 60, BatchOutcome.NOT_RUN, GiveUpReason.STOPPING),
    ],
)
def test_a_request_on_an_open_connection_is_run_in_time_or_refused(
    play_pools, left_ms, duration_ms, outcome, reason
):
    # Guards against requests that get no answer. A host is draining, and a client sends
    # another request on its open connection shortly before the host stops. If the job
    # cannot complete in time it is not run, and the caller is told immediately, while
    # it can still submit the job elsewhere.
    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(duration_ms))
        host = system.hosts[system.non_owner()].host
        host.drain(GRACE)
        await system.clock.sleep(GRACE - ms(left_ms))
        began = system.clock.monotonic()
        batch = make_batch("a" * 16, 2, ms(duration_ms))
        result = await host.run_job(batch, make_queue(), TIMEOUT)
        return result, system.clock.monotonic() - began

    (result, took), system = play_pools(scenario)
    assert (result.outcome, result.reason) == (outcome, reason)
    assert took <= max(ms(0), ms(left_ms))
    if outcome is BatchOutcome.NOT_RUN:
        assert took == ms(0)
        assert system.book.starts == []


def test_active_jobs_are_answered_before_a_draining_host_stops(play_pools):
    # A draining host has a job that takes longer than estimated, and one that waits
    # behind it. Both callers get an answer within the grace period, and the caller of
    # the job that never started is told that it has not run.
    size = PoolSystemSize(data_centres=1, hosts_each=2, minions_each=1)

    async def scenario(system):
        system.book.default_work = Work(TASK_NEEDS, ms(10_000))
        host = system.hosts[system.non_owner()].host
        found = {}

        async def submit(name):
            batch = make_batch(name * 16, 2, ms(500))
            found[name] = await host.run_job(batch, make_queue(), 2 * TIMEOUT)
            found[name + " at"] = system.clock.monotonic()

        began = system.clock.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(submit, "a")
            await system.clock.sleep(ms(50))
            group.start_soon(submit, "b")
            await system.clock.sleep(ms(50))
            host.drain(GRACE)
        return {
            key: value - began if key.endswith("at") else value.outcome
            for key, value in found.items()
        }

    found, _ = play_pools(scenario, size)
    assert found["a"] is BatchOutcome.UNKNOWN
    assert found["b"] is BatchOutcome.NOT_RUN
    assert max(found["a at"], found["b at"]) <= GRACE + ms(150)
