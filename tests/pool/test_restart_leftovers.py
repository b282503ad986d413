"""Check what calls to an earlier incarnation may still do to the next one."""

from __future__ import annotations

from dataclasses import replace

import pytest
from tests.pool.takeover import TASK, Requester, request, run_takeover
from tests.pool.test_restarts import (
    BORN,
    ms,
    own,
    report_born,
    run_short_tasks,
)

from brasstray.batch.ids import FencingToken
from brasstray.pool.lease_clock import LeaseClock
from brasstray.pool.timing import PoolTiming
from brasstray_standins.leased_minion import Work


# Guards against a second run: a renewal in flight when its minion starts again is
# carried out late by the next start, whose lease then outlives its reckoned end.
def test_renewal_in_flight_at_a_restart_may_extend_the_next_leases():
    clock = LeaseClock(PoolTiming())
    clock.record_clock(1_000, ms(0), ms(2))
    clock.next_lease_until(ms(500))
    later = clock.next_incarnation()
    later.record_clock(50, ms(700), ms(702))
    assert later.may_be_extended(ms(5_000))
    assert not later.may_be_extended(ms(14_000))


# Guards against the same second run: the renewal arrives when the next start is cut
# off, just before its lease ends.
@pytest.mark.parametrize("late_ms", range(700, 1_300, 50))
def test_renewal_of_before_that_arrives_late_makes_no_second_run(late_ms):
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        calls.delayed_extensions, calls.call_delay = 1, ms(late_ms)
        delay_call = calls._delay_call
        delayed = []

        async def delay(minion, *arguments):
            delayed.append(minion.id)
            await delay_call(minion, *arguments)

        calls._delay_call = delay
        while not delayed:
            await pool.clock.sleep(ms(1))
        stand_in = pool.stand_ins[delayed[0]]
        stand_in.restart(BORN + 5_000)
        # The tasks start on the minion that has started again.
        owner.update_minions(
            replace(entry, draining=entry.id != stand_in.entry.id)
            for entry in pool.entries
        )
        await pool.clock.sleep(ms(100))
        owner.run_tasks(Requester(), request(claimed=False, width=2))
        await pool.clock.sleep(ms(150))
        owner.update_minions(pool.entries)
        calls.cut.add(stand_in.entry.id)
        await pool.clock.sleep(ms(4_000))

    pool, _ = run_takeover(scenario, 2)
    assert pool.recorder.broken == []


# Guards against a second run by a replaced owner: a task whose start may be carried out
# late is queued up to 13 s after the store confirmed the ownership.
def test_late_start_ends_only_if_the_ownership_is_confirmed_then():
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        calls.delayed_starts, calls.call_delay = 1, ms(20_000)
        owner.run_tasks(Requester(), request(claimed=False))
        while calls.delayed_starts:
            await pool.clock.sleep(ms(1))
        lost = next(m for m in owner.minions if m.runs).entry.id
        pool.stand_ins[lost].crash()
        await pool.clock.sleep(ms(5_000))
        pool.newest_token = FencingToken(2)
        await pool.clock.sleep(ms(11_000))

    pool, _ = run_takeover(scenario, 2)
    assert pool.recorder.starts == []


# Guards against an end that is lost: a probe of an earlier start is carried out late by
# the next one, and its number acknowledges an end there that nobody has read.
def test_end_acknowledged_by_a_late_probe_of_before_leaves_no_task_behind():
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        await run_short_tasks(pool, owner, "b" * 16, 6)
        stand_in = next(iter(pool.stand_ins.values()))
        stale = stand_in.entry
        stand_in.restart(BORN + 5_000)
        await pool.clock.sleep(ms(500))
        owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(200))
        pool.recorder.work_by_task[TASK] = Work(
            pool.recorder.default_work.needs, ms(300)
        )
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False))
        await pool.clock.sleep(ms(200))
        calls.cut.add(stand_in.entry.id)
        await pool.clock.sleep(ms(200))
        await stand_in.hold(stale, FencingToken(1), 6, None, ms(0))
        calls.cut.clear()
        await pool.clock.sleep(ms(5_000))
        return requester.messages

    pool, messages = run_takeover(scenario, 1)
    assert len(messages) == 1
    assert pool.recorder.starts.count(TASK) == 1


# Guards against a minion that is lost for good: it starts again at another address with
# its clock set back, so that no reply can say so.
def test_minion_at_another_address_is_used_although_its_clock_was_set_back():
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        stand_in = next(iter(pool.stand_ins.values()))
        stand_in.restart(BORN - 5_000)
        stand_in.entry = replace(stand_in.entry, host="elsewhere")
        calls.cut.add(stand_in.entry.id)
        for _ in range(160):
            owner.update_minions(pool.entries)
            await pool.clock.sleep(ms(100))
        return [m.entry.host for m in owner.minions]

    _, hosts = run_takeover(scenario, 1)
    assert hosts == ["elsewhere"]


# Guards against a start that the session of an earlier incarnation sends to the next
# one, which bars only the starts that it was told of.
def test_start_scheduled_before_a_restart_is_not_sent_after_it():
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        sent = []
        send = calls.start

        async def start(minion, *arguments):
            sent.append(minion.born)
            return await send(minion, *arguments)

        calls.start = start
        stand_in = next(iter(pool.stand_ins.values()))
        owner.run_tasks(Requester(), request(claimed=False))
        session = owner._roster.session(stand_in.entry.id)
        schedule = session.start

        def start_and_restart(record, spec):
            schedule(record, spec)
            stand_in.restart(BORN + 5_000)
            owner.update_minions(pool.entries)

        session.start = start_and_restart
        await pool.clock.sleep(ms(1_500))
        return sent

    pool, sent = run_takeover(scenario, 1)
    assert BORN not in sent
    assert len(pool.recorder.starts) == 1
