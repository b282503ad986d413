"""Check how often the store is called while it keeps failing."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import pytest

from brasstray.store.errors import HistoryLostError, StoreUnavailableError
from brasstray_standins.memory_store import StoreView

DURATION = timedelta(seconds=3)
# One try per 150 ms for the configuration and for the pools, by each of six hosts.
MAX_TRIES = 6 * 2 * (DURATION / timedelta(milliseconds=150) + 1)


# The store discards its history before hosts ask for the changes since their last read,
# so each watch fails at once. If each host then read everything again without a pause,
# a fleet would overload the store, and no host would receive any change.
@pytest.mark.parametrize("error", [HistoryLostError, StoreUnavailableError])
def test_failing_watches_are_retried_with_a_delay(play_pools, monkeypatch, error):
    calls = Counter()
    snapshot = StoreView.snapshot

    async def counted(view, prefix):
        calls["snapshot"] += 1
        return await snapshot(view, prefix)

    async def failing(view, prefix, after, wait):
        calls["watch"] += 1
        raise error(prefix)

    async def scenario(system):
        monkeypatch.setattr(StoreView, "snapshot", counted)
        monkeypatch.setattr(StoreView, "watch", failing)
        await system.clock.sleep(DURATION)
        return system.hosts[system.owner()].host.owner is not None

    owned, _ = play_pools(scenario)
    assert owned
    assert calls["watch"] <= MAX_TRIES
    if error is StoreUnavailableError:
        # Each of two owners polls the list of minions twice a second.
        assert calls["snapshot"] <= 2 * (DURATION / timedelta(milliseconds=500) + 1)
