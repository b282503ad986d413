"""Check which runs count as stragglers, and that long tasks do not."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.batch.ids import BatchId, RunNumber
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.straggling import is_straggler

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
