"""Check what a host does in the moments after it was suspended."""

from __future__ import annotations

import asyncio
import os
from datetime import timedelta
from random import Random

import pytest
from tests.host.suspension import (
    Recorder,
    draw_orders,
    run_system,
    suspend_with_a_waiting_task,
)

from brasstray.batch.outcome import BatchOutcome
from brasstray.host.suspension_detector import BACKLOG_TIME
from brasstray_standins.pool_system import (
    TASK_DURATION,
    PoolSystemSize,
    make_batch,
    make_queue,
)

KINDS = [
    "resting minion",
    "full minion",
    "silent minion",
    "next step",
    "requested elsewhere",
]
SUSPENSION_ORDERS = int(os.environ.get("SUSPENSION_ORDERS", "20"))
SECOND = timedelta(seconds=1)
TIMEOUT = 1.5 * SECOND


def play_order(monkeypatch, draw):
    async def scenario(system):
        recorder = Recorder(system)
        with monkeypatch.context() as patch:
            recorder.watch(patch)
            await suspend_with_a_waiting_task(recorder, draw, TIMEOUT)
        return recorder

    centres = 2 if draw.kind == "next step" else 1
    size = PoolSystemSize(
        data_centres=centres, hosts_each=draw.hosts_each, minions_each=1
    )
    return run_system(scenario, size, draw.seed, monkeypatch)


# Guards against a host that acts, in its first moments after a suspension, on what it
# knew before: its callers have sent their jobs to other data centres since.
@pytest.mark.parametrize("kind", KINDS)
def test_a_resumed_host_does_nothing_on_old_knowledge(monkeypatch, kind):
    for draw in draw_orders(4, SUSPENSION_ORDERS, [kind], 0.5, 4):
        recorder = play_order(monkeypatch, draw)
        assert recorder.acts == [], draw
        assert recorder.late_starts == [], draw


# Guards against a request that waited unread during a suspension and counts as new: its
# caller may have given up and sent the job elsewhere.
@pytest.mark.parametrize("seed", range(20))
def test_the_time_that_a_request_waited_unread_counts_against_its_timeout(
    monkeypatch, seed
):
    random = Random(seed)
    suspended = random.uniform(0.5, 4) * SECOND
    timeout = random.uniform(0.2, 3) * SECOND
    read_after = random.uniform(0, 0.2) * SECOND

    async def scenario(system):
        host = system.hosts[system.non_owner(0)].host
        asyncio.get_running_loop().jump(suspended)
        await system.clock.sleep(read_after)
        read_at = system.clock.monotonic()
        result = await host.run_job(make_batch("a" * 16, 2), make_queue(), timeout)
        return read_at, result, system.clock.monotonic()

    size = PoolSystemSize(data_centres=2, hosts_each=2, minions_each=2)
    read_at, result, answered_at = run_system(scenario, size, seed, monkeypatch)
    if read_after > BACKLOG_TIME:
        assert answered_at <= read_at + timeout
    elif suspended + TASK_DURATION >= timeout:
        assert result.outcome is BatchOutcome.NOT_RUN
        assert answered_at == read_at
    else:
        assert answered_at <= read_at + timeout - suspended
