"""Check how much longer a process that lags behind waits for replies."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.pool.loop_lag import MAX_ALLOWANCE, LoopLag


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize(
    ("lateness", "least", "most"),
    [
        ([], 0, 0),
        ([0, 0, 0], 0, 0),
        ([80], 80, 80),
        ([80, 5], 79, 80),
        ([80] + [0] * 50, 45, 55),
        ([80] + [0] * 500, 0, 1),
        ([900], 150, 150),
    ],
)
def test_allowance_follows_the_largest_recent_lag(lateness, least, most):
    lag = LoopLag()
    for late in lateness:
        lag.observe(ms(late))
    assert ms(least) <= lag.allowance <= min(ms(most), MAX_ALLOWANCE)
