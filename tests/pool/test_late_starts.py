"""Check that a start carried out late never begins a second run of its task."""

from __future__ import annotations

from datetime import timedelta

import pytest
from tests.pool.takeover import Requester, request, run_takeover

SECOND = timedelta(seconds=1)


def ms(count):
    return timedelta(milliseconds=count)


async def list_periodically(pool, owner, entries, duration):
    """Give `owner` the list `entries` twice a second for `duration`."""
    end = pool.clock.monotonic() + duration
    while pool.clock.monotonic() < end:
        owner.update_minions(entries)
        await pool.clock.sleep(ms(500))


@pytest.mark.parametrize("minions", [2, 3])
@pytest.mark.parametrize("missing_ms", [3_500, 4_500, 8_000])
@pytest.mark.parametrize("late_ms", [6_000, 9_000, 11_500])
def test_late_start_is_rejected_after_its_minion_was_forgotten(
    minions, missing_ms, late_ms
):
    """A start delayed while its minion was unlisted does not begin beside a rerun."""

    async def scenario(pool):
        calls = pool.calls()
        owner, _ = pool.start_owner(1, calls)
        await pool.list_all_minions(owner)
        await pool.clock.sleep(ms(150))
        calls.delayed_starts, calls.call_delay = 1, ms(late_ms)
        owner.run_tasks(Requester(), request(claimed=False))
        lost = await wait_for_late_start(pool, calls, owner)
        calls.cut.add(lost)
        listed = [entry for entry in pool.entries if entry.id != lost]
        await list_periodically(pool, owner, listed, ms(missing_ms))
        calls.cut.clear()
        await list_periodically(pool, owner, pool.entries, 10 * SECOND)

    pool, _ = run_takeover(scenario, minions, duration=15 * SECOND)
    assert pool.recorder.broken == []


async def wait_for_late_start(pool, calls, owner):
    """Wait until a start is held back; return the minion that it was sent to."""
    while calls.delayed_starts:
        await pool.clock.sleep(ms(1))
    return next(minion.entry.id for minion in owner.minions if minion.runs)
