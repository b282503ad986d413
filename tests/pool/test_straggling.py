"""Check which runs count as stragglers, and that long tasks do not."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.batch.ids import BatchId, RunNumber
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.pool.neighbours import Neighbours
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.run_verdict import RunVerdict
from brasstray.pool.straggling import is_straggler, judge

EXPECTED = timedelta(milliseconds=200)


def record(percent, expected=EXPECTED):
    return RunRecord(
        TaskName(BatchId("a" * 16), 0, 0),
        RunNumber(1),
        Resources(),
        timedelta(0),
        expected,
        RunState.ACTIVE,
        None,
        percent=percent,
    )


@pytest.mark.parametrize(
    ("elapsed_ms", "percent", "siblings", "verdict"),
    [
        (100, 0, None, False),  # too early to tell
        (130, 0, None, True),  # no progress at all
        (130, 40, None, False),
        (300, 40, None, False),  # 750 ms in total: within the error of estimates
        (300, 30, None, True),  # 1,000 ms in total, five times the expected duration
        (700, 75, None, False),  # nearly done
        # Its siblings on other minions take four times the estimate, so the estimate is
        # wrong.
        (300, 35, 4.0, False),
        # Its siblings take half the estimate, and this run does not.
        (300, 60, 0.5, True),
        (300, 69, 0.8, False),
    ],
)
def test_straggler_detection_by_progress(elapsed_ms, percent, siblings, verdict):
    now = timedelta(milliseconds=elapsed_ms)
    assert is_straggler(record(percent), now, siblings) is verdict


def test_run_of_a_previous_owner_is_no_straggler():
    # Its start time and its expected duration are unknown.
    assert not is_straggler(record(0, timedelta(0)), timedelta(seconds=9), None)


LONG_SHARE = 0.25
UNKNOWN, USUAL, SLOW = Neighbours(), Neighbours(usual=True), Neighbours(slow=True)


def reported(*reports):
    run = record(0)
    for at_ms, percent in reports:
        run.report(percent, timedelta(milliseconds=at_ms))
    return run


@pytest.mark.parametrize(
    ("reports", "siblings", "neighbours", "long_share", "verdict"),
    [
        # A task of seven times the estimate on a sound minion: it moves at one pace.
        ([(200, 14), (400, 28)], None, USUAL, LONG_SHARE, "long_task"),
        ([(200, 14), (400, 28)], 1.0, USUAL, LONG_SHARE, "long_task"),
        # The same, where the minion has nothing else to compare with: the gain decides.
        ([(200, 14), (400, 28)], 1.0, UNKNOWN, 0.1, "slow_minion"),
        ([(200, 14), (400, 28)], 1.0, UNKNOWN, 0.8, "long_task"),
        ([(200, 14), (400, 28), (1_000, 71)], 1.0, UNKNOWN, 0.4, "long_task"),
        # A minion seven times as slow as usual, with all its runs.
        ([(200, 14), (400, 28)], 1.0, SLOW, LONG_SHARE, "slow_minion"),
        ([(200, 14), (400, 28)], None, SLOW, LONG_SHARE, "slow_minion"),
        # It is nearly done all the same.
        ([(200, 14), (1_200, 85)], None, SLOW, LONG_SHARE, "usual"),
        # An estimate off by 40%, on any minion.
        ([(200, 70)], None, SLOW, LONG_SHARE, "usual"),
        ([(200, 60)], 0.8, UNKNOWN, LONG_SHARE, "usual"),
        # A run that hangs, whatever its neighbours do.
        ([(200, 0)], None, USUAL, LONG_SHARE, "stuck"),
        ([(200, 10), (400, 10), (600, 10)], 1.0, UNKNOWN, 0.9, "stuck"),
    ],
)
def test_long_task_is_told_from_a_slow_minion(
    reports, siblings, neighbours, long_share, verdict
):
    now = timedelta(milliseconds=reports[-1][0])
    found = judge(reported(*reports), now, siblings, neighbours, long_share)
    assert found is RunVerdict(verdict)


@pytest.mark.parametrize(
    ("neighbours", "last_percent", "verdict"),
    [
        # The minion turns slow after 400 ms, when a task of one second is at 40%.
        (SLOW, 44, "slow_minion"),
        # Its other runs are as fast as before, so the task is only uneven.
        (USUAL, 44, "usual"),
        (UNKNOWN, 44, "usual"),
        # It goes on as before.
        (SLOW, 80, "usual"),
    ],
)
def test_a_run_whose_minion_turns_slow(neighbours, last_percent, verdict):
    run = reported((200, 20), (400, 40), (600, 42), (800, last_percent))
    run.expected = timedelta(milliseconds=1_000)
    now = timedelta(milliseconds=800)
    found = judge(run, now, None, neighbours, LONG_SHARE)
    assert found is RunVerdict(verdict)


@pytest.mark.parametrize("neighbours", [UNKNOWN, SLOW])
def test_a_task_that_was_found_long_stays_long_until_its_pace_falls(neighbours):
    run = reported((200, 14), (400, 28))
    run.long_task = True
    now = timedelta(milliseconds=400)
    assert judge(run, now, 1.0, neighbours, 0.1) is RunVerdict.LONG_TASK
    for at_ms, percent in ((600, 29), (800, 30)):
        run.report(percent, timedelta(milliseconds=at_ms))
    found = judge(run, timedelta(milliseconds=800), 1.0, SLOW, 0.1)
    assert found is RunVerdict.SLOW_MINION
