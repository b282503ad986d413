"""Check what is learned about how often slow runs are long tasks."""

from __future__ import annotations

import pytest

from brasstray.pool.long_share import LongShare


@pytest.mark.parametrize(
    ("cases", "least", "most"),
    [
        ([], 0.25, 0.25),
        # Tasks with a long tail on sound minions.
        ([True] * 20, 0.6, 1.0),
        # Minions that turn slow.
        ([False] * 20, 0.0, 0.1),
        # Tails first, and then a slow minion: the latest cases count most.
        ([True] * 20 + [False] * 20, 0.0, 0.3),
    ],
)
def test_share_follows_the_cases(cases, least, most):
    share = LongShare()
    for long in cases:
        share.record(long=long)
    assert least <= share.value <= most
