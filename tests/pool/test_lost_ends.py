"""Check what becomes of a run whose end its minion has forgotten unread."""

from __future__ import annotations

import os
from dataclasses import dataclass, replace
from datetime import timedelta

import pytest
from tests.pool.lost_end_orders import EARLIER_JOB, LATER_JOB, play_lost_ends
from tests.pool.takeover import (
    JOB,
    TASK,
    NullObject,
    Requester,
    request,
    run_takeover,
)
from tests.pool.test_restarts import (
    BORN,
    done_tasks,
    ms,
    own,
    report_born,
    run_short_tasks,
)

from brasstray.batch.ids import FencingToken
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.pool.health_monitor import HealthMonitor
from brasstray.pool.minion import Minion
from brasstray.pool.probe_reply import (
    MAX_LISTED_ENDS,
    ActiveRun,
    EndedRun,
    ProbeReply,
    RunEnd,
)
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.run_tracker import RunTracker
from brasstray.pool.task_registry import TaskRegistry
from brasstray.pool.timing import PoolTiming
from brasstray_standins.leased_minion import Work

TIMING = PoolTiming()
# A probe that got lost, one that is answered, and a second one after the stop time.
ANSWER_WITHIN = (
    TIMING.idle_hold_wait + 3 * TIMING.probe_timeout + TIMING.stop_time + ms(10)
)
# More seeds are run by hand.
ORDER_COUNT = int(os.environ.get("LOST_END_ORDERS", "120"))
GROUP_COUNT = 6


# Guards against an end that is lost: a probe of an earlier start is carried out late by
# the next one while that one is cut off, with a number that reaches unread ends.
@pytest.mark.parametrize("group", range(GROUP_COUNT))
def test_tasks_of_lost_ends_are_answered_at_once_and_not_started_again(group):
    faults, lost = {}, 0
    for seed in range(group, ORDER_COUNT, GROUP_COUNT):

        async def scenario(pool, seed=seed):
            return await play_lost_ends(pool, seed)

        _, order = run_takeover(scenario, 1 + seed % 2)
        lost += len(order.lost)
        if found := order.faults(ANSWER_WITHIN):
            faults[seed] = found
    assert faults == {}
    assert lost >= ORDER_COUNT // GROUP_COUNT // 4


async def restart_and_ask(pool, work_ms, *, listed=False, answered=True):
    """Have a minion start again, and a task begin there; return what takes part.

    `lose_end` cuts the minion off until the task has ended, and then carries out a
    probe of before the restart, which acknowledges six ends.
    """
    report_born(pool)
    owner, calls = await own(pool)
    await run_short_tasks(pool, owner, EARLIER_JOB, 6)
    stand_in = next(iter(pool.stand_ins.values()))
    stale = stand_in.entry
    stand_in.restart(BORN + 5_000)
    await pool.clock.sleep(ms(500))
    owner.update_minions(
        replace(entry, draining=entry.id != stand_in.entry.id) for entry in pool.entries
    )
    await pool.clock.sleep(ms(200))
    pool.recorder.work_by_task[TASK] = Work(
        pool.recorder.default_work.needs, ms(work_ms)
    )
    requester = Requester()
    owner.run_tasks(requester, request(claimed=False))
    if answered:
        await pool.clock.sleep(ms(200 if listed else 5))

    async def lose_end():
        calls.cut.add(stand_in.entry.id)
        await pool.clock.sleep(ms(work_ms + 50))
        await stand_in.hold(stale, FencingToken(1), 6, None, ms(0))

    return owner, calls, stand_in, requester, lose_end


def is_unknown(messages):
    """Return whether the only answer is that the outcome is unknown."""
    return [getattr(message, "outcome_unknown", False) for message in messages] == [
        True
    ]


# Guards against a second run: the end of a run was lost that the minion had never
# listed as active, though it had answered the start.
@pytest.mark.parametrize("work_ms", [20, 60, 150])
def test_end_of_a_run_that_was_never_listed_is_known_to_be_lost(work_ms):
    async def scenario(pool):
        _, calls, stand_in, requester, lose_end = await restart_and_ask(pool, work_ms)
        await lose_end()
        calls.cut.clear()
        await pool.clock.sleep(ANSWER_WITHIN)
        return requester.messages

    pool, messages = run_takeover(scenario, 1)
    assert is_unknown(messages)
    assert pool.recorder.starts.count(TASK) == 1


# Guards against a second run: the minion starts again, or is silent until its leases
# have expired, after a report that showed that an end is missing.
@pytest.mark.parametrize("then", ["restarts", "is silent", "is gone"])
def test_task_of_a_missing_run_is_not_started_elsewhere(then):
    async def scenario(pool):
        owner, calls, stand_in, requester, lose_end = await restart_and_ask(
            pool, 300, listed=True
        )
        await lose_end()
        calls.cut.clear()
        while not any(r.missing_since for m in owner.minions for r in m.runs.values()):
            await pool.clock.sleep(ms(1))
        match then:
            case "restarts":
                stand_in.restart(BORN + 9_000)
                owner.update_minions(pool.entries)
            case "is silent":
                calls.cut.add(stand_in.entry.id)
            case "is gone":
                stand_in.entry = replace(stand_in.entry, id="another")
        await pool.clock.sleep(ms(4_000))
        return requester.messages

    pool, messages = run_takeover(scenario, 2)
    assert is_unknown(messages)
    assert pool.recorder.starts.count(TASK) == 1


# Guards against an unknown outcome of a task that ended with its minion: the reply to a
# probe that was held back while the process died lists neither the run nor an end.
@pytest.mark.parametrize("then", ["restarts", "is silent"])
def test_task_of_a_minion_that_died_during_a_probe_starts_again(then):
    async def scenario(pool):
        report_born(pool)
        owner, calls = await own(pool)
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False))
        await pool.clock.sleep(ms(500))
        stand_in = pool.stand_ins[pool.where()]
        before = calls.calls[stand_in.entry.id]
        while calls.calls[stand_in.entry.id] == before:
            await pool.clock.sleep(ms(1))
        await pool.clock.sleep(ms(20))
        stand_in.crash()
        await pool.clock.sleep(ms(200))
        if then == "restarts":
            stand_in.restart(BORN + 5_000)
            owner.update_minions(pool.entries)
        await pool.clock.sleep(ms(5_000))
        return requester

    pool, requester = run_takeover(scenario, 2)
    assert done_tasks(requester) == [0]
    assert pool.recorder.starts.count(TASK) == 2


# Guards against a second run: a requester claims the task again over a new link, as the
# answer that its outcome is unknown got lost with the old one.
def test_claim_to_a_task_whose_end_was_lost_is_answered_as_unknown():
    async def scenario(pool):
        owner, calls, stand_in, _, lose_end = await restart_and_ask(pool, 60)
        await lose_end()
        calls.cut.clear()
        await pool.clock.sleep(ANSWER_WITHIN)
        again = Requester()
        owner.run_tasks(again, request(claimed=True))
        await pool.clock.sleep(ms(1_000))
        return again.messages

    pool, messages = run_takeover(scenario, 1)
    assert is_unknown(messages)
    assert pool.recorder.starts.count(TASK) == 1


# Guards against capacity that stays in use, and a task reported for nothing: its caller
# had left when the end was lost.
@pytest.mark.parametrize("stopped", ["before", "after"])
def test_lost_end_of_an_unwanted_run_frees_its_capacity(stopped):
    async def scenario(pool):
        owner, calls, stand_in, requester, lose_end = await restart_and_ask(pool, 60)
        if stopped == "before":
            calls.cut.add(stand_in.entry.id)
            owner.stop_tasks(requester, JOB)
        await lose_end()
        if stopped == "after":
            owner.stop_tasks(requester, JOB)
        calls.cut.clear()
        await pool.clock.sleep(ms(700))
        return requester.messages, [m.runs for m in owner.minions]

    _, (messages, runs) = run_takeover(scenario, 1)
    assert messages == []
    assert runs == [{}]


# Guards against an unknown outcome of a task that never ran: its start was lost, so its
# run is listed neither as active nor as ended either.
def test_task_whose_start_was_lost_runs():
    async def scenario(pool):
        owner, calls, stand_in, _, lose_end = await restart_and_ask(pool, 60)
        await pool.clock.sleep(ms(400))
        requester = Requester()
        calls.cut.add(stand_in.entry.id)
        owner.run_tasks(requester, request(claimed=False, job=LATER_JOB))
        await lose_end()
        calls.cut.clear()
        await pool.clock.sleep(ms(5_000))
        return requester

    pool, requester = run_takeover(scenario, 1)
    assert done_tasks(requester) == [0]
    assert pool.recorder.starts.count(TaskName(LATER_JOB, 0, 0)) == 1


# Guards against an unknown outcome of a task whose run its minion is stopping: it is
# listed neither as active nor as ended in a report that another end brings about.
def test_run_that_is_being_stopped_is_not_given_up():
    async def scenario(pool):
        report_born(pool)
        owner, _ = await own(pool)
        stand_in = next(iter(pool.stand_ins.values()))
        for index, work_ms in enumerate((900, 660)):
            pool.recorder.work_by_task[TaskName(JOB, 0, index)] = Work(
                pool.recorder.default_work.needs, ms(work_ms)
            )
        requester = Requester()
        owner.run_tasks(requester, request(claimed=False, width=2))
        await pool.clock.sleep(ms(640))
        stand_in.stop(stand_in.entry, FencingToken(1), TASK, 1)
        seen_missing = False
        for _ in range(300):
            await pool.clock.sleep(ms(10))
            records = [r for m in owner.minions for r in m.runs.values()]
            seen_missing |= any(r.missing_since for r in records)
        return requester, seen_missing

    _, (requester, seen_missing) = run_takeover(scenario, 1)
    assert seen_missing
    assert sorted(done_tasks(requester)) == [0, 1]


@dataclass
class SetClock:
    """Show the time that a test sets."""

    now: timedelta

    def monotonic(self):
        return self.now


# Guards against an unknown outcome of a run that is active or that ends as usual.
@pytest.mark.parametrize(
    ("reports", "lost"),
    [
        ([(0, ()), (60, ())], True),
        ([(0, ()), (59, ())], False),
        ([(0, ())], False),
        # The probe was sent before the start was answered, so its report may be older.
        ([(-1, ()), (59, ())], False),
        ([(0, ()), (30, (TASK,)), (60, ())], False),
        ([(0, ()), (30, (TASK,)), (60, ()), (120, ())], True),
        # The report may leave out runs.
        ([(None, ()), (60, ())], False),
        ([(0, ()), (None, ()), (120, ())], True),
    ],
)
def test_one_run_is_missing_in_two_reports_further_apart_than_a_stop(reports, lost):
    answered_at = ms(1_000)
    record = RunRecord(
        TASK, 1, Resources(), answered_at, ms(300), RunState.ACTIVE, None
    )
    record.confirm_begun(answered_at)
    minion = Minion(NullObject())
    minion.add(record)
    clock = SetClock(answered_at)
    tracker = RunTracker(
        TaskRegistry(clock, NullObject()),
        HealthMonitor(lambda: [minion], NullObject()),
        NullObject(),
        clock,
        NullObject(),
        lambda: False,
        lambda *_: None,
    )
    for sent_ms, listed in reports:
        sent = None if sent_ms is None else answered_at + ms(sent_ms)
        clock.now = sent or clock.now
        active = tuple(ActiveRun(task, 1, 10) for task in listed)
        tracker.apply_report(minion, active, (), sent)
    assert (not minion.runs) == lost


@pytest.mark.parametrize(
    ("count", "all_listed"), [(0, True), (MAX_LISTED_ENDS - 1, True), (500, False)]
)
def test_full_list_of_ends_leaves_out_others(count, all_listed):
    ended = tuple(EndedRun(n + 1, TASK, n + 1, RunEnd.DONE) for n in range(count))
    assert ProbeReply(0, (), ended).lists_all_ends == all_listed


async def begin_unanswered(pool):
    """Wait until the task has begun; the response to its start is on its way."""
    while not pool.recorder.starts.count(TASK):
        await pool.clock.sleep(ms(0.2))


# Guards against a second run: the minion began the run, but its response to the start
# was lost as well as the end.
@pytest.mark.parametrize("work_ms", [30, 100, 300])
def test_unanswered_start_whose_end_was_lost_is_not_repeated(work_ms):
    async def scenario(pool):
        _, calls, stand_in, requester, lose_end = await restart_and_ask(
            pool, work_ms, answered=False
        )
        await begin_unanswered(pool)
        await lose_end()
        calls.cut.clear()
        await pool.clock.sleep(ms(5_000))
        return requester.messages

    pool, messages = run_takeover(scenario, 1)
    assert is_unknown(messages)
    assert pool.recorder.starts.count(TASK) == 1


# Guards against a second run: the owner dies before it can see that an end was lost,
# and the next one finds neither the run nor its end.
def test_claimed_task_whose_end_was_lost_before_is_not_started_again():
    async def scenario(pool):
        owner, calls, stand_in, _, lose_end = await restart_and_ask(pool, 60)
        await lose_end()
        owner.depose()
        successor, _ = pool.start_owner(2, pool.calls())
        await pool.list_all_minions(successor)
        requester = Requester()
        successor.run_tasks(requester, request(claimed=True))
        await pool.clock.sleep(ms(2_000))
        return requester.messages

    pool, messages = run_takeover(scenario, 1)
    assert is_unknown(messages)
    assert pool.recorder.starts.count(TASK) == 1
