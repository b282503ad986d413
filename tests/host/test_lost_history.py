"""Check how often the store is asked when it keeps failing."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import pytest

from brasstray.store.errors import HistoryLostError, StoreUnavailableError
from brasstray_standins.memory_store import StoreView

WATCHED = timedelta(seconds=3)
# One try each 150 ms, of the configuration and of the pools, by each of six hosts.
MOST_TRIES = 6 * 2 * (WATCHED / timedelta(milliseconds=150) + 1)


# The store drops its history sooner than hosts come to ask for what came since. Each
# watch fails at once, and each host reads everything again, without a pause: on a fleet
# that alone is more than the store serves, so that no host learns of anything.
@pytest.mark.parametrize("error", [HistoryLostError, StoreUnavailableError])
def test_a_store_whose_watches_all_fail_is_asked_with_pauses(
    play_pools, monkeypatch, error
):
    calls = Counter()
    snapshot = StoreView.snapshot

    async def counted(view, prefix):
        calls["snapshot"] += 1
        return await snapshot(view, prefix)

    async def failing(view, prefix, after, wait):
        calls["watch"] += 1
        raise error(prefix)

    async def story(system):
        monkeypatch.setattr(StoreView, "snapshot", counted)
        monkeypatch.setattr(StoreView, "watch", failing)
        await system.clock.sleep(WATCHED)
        return system.hosts[system.owner()].host.owner is not None

    owned, _ = play_pools(story)
    assert owned
    assert calls["watch"] <= MOST_TRIES
    if error is StoreUnavailableError:
        # The list of minions is read twice a second by each of two owners.
        assert calls["snapshot"] <= 2 * (WATCHED / timedelta(milliseconds=500) + 1)
