"""Test the intervals derived from the settings of the minions."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.daemon.pool_daemon import pool_timing
from brasstray.pool.timing import PoolTiming
from brasstray.settings.pool_settings import MinionsSection


@pytest.mark.parametrize(
    ("lease_ms", "stop_ms", "lease", "stop"),
    [(1_000, 50, 800, 60), (2_000, 100, 1_600, 120), (500, 10, 400, 12)],
)
def test_lease_and_stop_time_come_from_the_settings(lease_ms, stop_ms, lease, stop):
    timing = pool_timing(MinionsSection(lease_ms=lease_ms, stop_ms=stop_ms))
    assert timing.lease == timedelta(milliseconds=lease)
    assert timing.longest_lease == timedelta(milliseconds=lease_ms)
    assert timing.stop_time == timedelta(milliseconds=stop)


def test_the_default_settings_give_the_default_timing():
    assert pool_timing(MinionsSection()) == PoolTiming()
