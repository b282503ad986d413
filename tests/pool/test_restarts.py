"""Check that nothing of a minion is taken for that of its next start."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest
from tests.pool.takeover import JOB, Requester, request, run_takeover

from brasstray.batch.task_name import TaskName
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray_standins.leased_minion import Work

BORN = 1_764_000_000_000
SHORT = timedelta(milliseconds=40)


def ms(count):
    return timedelta(milliseconds=count)


def report_born(pool, born=BORN):
    for stand_in in pool.stand_ins.values():
        stand_in.entry = replace(stand_in.entry, born=born)


async def own(pool):
    """Start an owner of all minions; return it and its calls once it has recovered."""
    calls = pool.calls()
    owner, _ = pool.start_owner(1, calls)
    await pool.list_all_minions(owner)
    await pool.clock.sleep(ms(150))
    return owner, calls


def done_tasks(requester):
    return [
        index
        for message in requester.messages
        if isinstance(message, TasksEnded)
        for index in message.done
    ]


async def run_short_tasks(pool, owner, job, width):
    """Have tasks end, so that the numbers of ends increase."""
    requester = Requester()
    for index in range(width):
        pool.recorder.work_by_task[TaskName(job, 0, index)] = Work(
            pool.recorder.default_work.needs, SHORT
        )
    owner.run_tasks(requester, request(claimed=False, job=job, width=width))
    await pool.clock.sleep(ms(600))
    return done_tasks(requester)


# Guards against ends that are lost for good: a minion starts again under its id while
# its owner holds a run there and has acknowledged ends. The numbers of its ends begin
# anew, so the owner acknowledged, unread, the ends of the new start by those of the
# old, and waited for the end of a run that was no longer there.
@pytest.mark.parametrize("seen_in", ["reply", "entry"])
@pytest.mark.parametrize("minions", [1, 2])
def test_ends_after_a_restart_are_not_taken_for_known_ones(seen_in, minions):
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        before = await run_short_tasks(pool, owner, "b" * 16, 6)
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False))
        await pool.clock.sleep(ms(250))
        stand_in = pool.stand_ins[pool.where()]
        pool.recorder.work_by_task[TaskName(JOB, 0, 0)] = Work(
            pool.recorder.default_work.needs, SHORT
        )
        if seen_in == "entry":
            calls.cut.add(stand_in.entry.id)
        stand_in.restart(BORN + 5_000)
        if seen_in == "entry":
            owner.update_minions(pool.entries)
            calls.cut.clear()
        await pool.clock.sleep(ms(400))
        owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(400))
        after = await run_short_tasks(pool, owner, "c" * 16, 6)
        return before, done_tasks(requester), after

    pool, (before, done, after) = run_takeover(scenario, minions)
    assert pool.recorder.broken == []
    assert sorted(before) == sorted(after) == list(range(6))
    assert done == [0]


@pytest.mark.parametrize("seen_in", ["reply", "entry"])
def test_task_of_an_ended_incarnation_starts_elsewhere_at_once(seen_in):
    """A run that ended with its minion does not wait for that one's leases."""

    async def scenario(pool):
        report_born(pool)
        owner, _ = await own(pool)
        owner.run_tasks(Requester(), request(claimed=False))
        await pool.clock.sleep(ms(250))
        stand_in = pool.stand_ins[pool.where()]
        stand_in.restart(BORN + 5_000)
        if seen_in == "entry":
            owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(300))
        return pool.recorder.recorded_starts

    pool, starts = run_takeover(scenario, 2)
    assert pool.recorder.broken == []
    assert len(starts) == 2


# Guards against a second run that begins with a delayed start. The start had no answer
# and its minion starts again under its id. The new start of it has seen neither stop
# nor token, and its clock is another, so that it rejects nothing.
@pytest.mark.parametrize("late_ms", [200, 700, 1_500, 3_000, 9_000])
@pytest.mark.parametrize("down_ms", [0, 300, 1_500, 4_000])
@pytest.mark.parametrize("listed", [True, False], ids=["listed", "not listed"])
def test_start_carried_out_after_a_restart_is_not_a_second_run(
    late_ms, down_ms, listed
):
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        calls.delayed_starts, calls.call_delay = 1, ms(late_ms)
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False))
        while calls.delayed_starts:
            await pool.clock.sleep(ms(1))
        lost = next(m for m in owner.minions if m.runs).entry.id
        pool.stand_ins[lost].crash()
        await pool.clock.sleep(ms(down_ms))
        calls.cut.add(lost)
        pool.stand_ins[lost].restart(BORN + 5_000)
        for _ in range(8):
            if listed:
                owner.update_minions(pool.entries)
            await pool.clock.sleep(ms(250))
        calls.cut.clear()
        await pool.clock.sleep(ms(12_000))
        return done_tasks(requester)

    pool, done = run_takeover(scenario, 2)
    assert pool.recorder.broken == []
    assert done == [0]


@pytest.mark.parametrize("says_born", [True, False])
def test_stale_entry_does_not_bring_back_an_earlier_incarnation(says_born):
    """A list that lags behind a reply ends nothing on the incarnation that replied."""

    async def scenario(pool):
        report_born(pool)
        owner, _ = await own(pool)
        stale = pool.entries
        stand_in = next(iter(pool.stand_ins.values()))
        stand_in.restart(BORN + 5_000)
        owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(250))
        stand_in.says_born = says_born
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False))
        for _ in range(5):
            owner.update_minions(stale)
            await pool.clock.sleep(ms(100))
        return [m.entry.born for m in owner.minions]

    pool, born = run_takeover(scenario, 1)
    assert born == [BORN + 5_000]
    assert pool.recorder.broken == []
    # Once it has said its start, a minion that says it no more is not believed.
    assert len(pool.recorder.starts) == 1


def test_new_incarnation_gets_nothing_before_its_entry_is_read():
    """It may be of another kind, with less capacity than the earlier one."""

    async def scenario(pool):
        report_born(pool)
        owner, _ = await own(pool)
        next(iter(pool.stand_ins.values())).restart(BORN + 5_000)
        await pool.clock.sleep(ms(600))
        owner.run_tasks(Requester(), request(claimed=False))
        await pool.clock.sleep(ms(100))
        before = list(pool.recorder.starts)
        owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(100))
        return before, list(pool.recorder.starts)

    _, (before, after) = run_takeover(scenario, 1)
    assert before == []
    assert len(after) == 1


def test_reporting_a_start_changes_nothing_without_restarts():
    async def scenario(pool, born):
        report_born(pool, born)
        owner, _ = await own(pool)
        await run_short_tasks(pool, owner, "b" * 16, 8)
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False, width=4))
        await pool.clock.sleep(ms(3_500))
        return (
            [(s.task, s.minion.id, s.at) for s in pool.recorder.recorded_starts],
            done_tasks(requester),
        )

    (_, without), (_, reported) = (
        run_takeover(lambda pool, born=born: scenario(pool, born), 2)
        for born in (None, BORN)
    )
    assert without == reported
    assert sorted(without[1]) == [0, 1, 2, 3]


@pytest.mark.parametrize(("born", "starts_within_2_s"), [(None, 1), (BORN, 0)])
def test_late_start_delays_its_task_only_where_a_minion_may_restart(
    born, starts_within_2_s
):
    """Another id rejects the start, so where the id is new its task need not wait."""

    async def scenario(pool):
        report_born(pool, born)
        owner, calls = await own(pool)
        calls.delayed_starts, calls.call_delay = 1, ms(20_000)
        owner.run_tasks(Requester(), request(claimed=False))
        while calls.delayed_starts:
            await pool.clock.sleep(ms(1))
        lost = next(m for m in owner.minions if m.runs).entry.id
        pool.stand_ins[lost].crash()
        await pool.clock.sleep(ms(2_000))
        soon = len(pool.recorder.starts)
        await pool.clock.sleep(ms(13_000))
        return soon, len(pool.recorder.starts)

    _, (soon, at_last) = run_takeover(scenario, 2)
    assert soon == starts_within_2_s
    assert at_last == 1
