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
        (300, 40, None, False),  # 750 ms in all: a wrong estimate may do that
        (300, 30, None, True),  # 1,000 ms in all, five times what was expected
        (700, 75, None, False),  # nearly done
        # Its siblings on other minions take four times as long as was estimated, so
        # it is the estimate that is wrong.
        (300, 35, 4.0, False),
        # Its siblings are twice as fast as estimated, and it is not.
        (300, 60, 0.5, True),
        (300, 69, 0.8, False),
    ],
)
def test_straggler_detection_by_progress(elapsed_ms, percent, siblings, verdict):
    now = timedelta(milliseconds=elapsed_ms)
    assert is_straggler(record(percent), now, siblings) is verdict


def test_run_of_a_previous_owner_is_no_straggler():
    # Nobody knows when it began or what it was expected to take.
    assert not is_straggler(record(0, timedelta(0)), timedelta(seconds=9), None)
