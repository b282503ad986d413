"""Check how soon a host takes over the pool of an owner that is lost."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.host.takeover_backoff import TakeoverBackoff

WINDOW = timedelta(seconds=10)


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize(
    ("takeovers", "now", "factor"),
    [
        ([], 0, 1),
        ([(3, 0)], 100, 1),
        ([(3, 0), (4, 500)], 600, 2),
        ([(3, 0), (4, 500), (5, 900)], 1_000, 4),
        ([(n, n * 100) for n in range(1, 20)], 2_000, 8),
        ([(3, 0), (3, 200), (3, 400)], 500, 1),
        ([(3, 0), (2, 200)], 500, 1),
        ([(3, 0), (4, 9_000)], 10_500, 1),
        ([(3, 0), (4, 9_000)], 25_000, 1),
    ],
)
def test_the_timeout_doubles_with_each_takeover(takeovers, now, factor):
    backoff = TakeoverBackoff(WINDOW)
    for token, at in takeovers:
        backoff.record_owner(token, ms(at))
    assert backoff.timeout_factor(ms(now)) == factor


@pytest.mark.parametrize(
    ("event", "max_ms"),
    [("killed", 200), ("restarted", 200), ("resigns", 300), ("silent", 700)],
)
def test_a_lost_owner_is_replaced_soon(play_pools, event, max_ms):
    # The owner of a pool is killed, is restarted, resigns or goes silent. The lease of
    # a run ends 0.8 s after the owner last reached its minion, so another host has to
    # own the pool before.
    async def scenario(system):
        name = system.owner()
        began = system.clock.monotonic()
        if event == "silent":
            system.network.cut({name: 1})
            system.store.cut.add(name)
        elif event == "resigns":
            system.hosts[name].host.drain()
        else:
            system.kill(name)
            if event == "restarted":
                system.start(name, "dc0")
        before = system.store.entries("brasstray/pools/dc0")[0].version
        while system.store.entries("brasstray/pools/dc0")[0].version == before:
            await system.clock.sleep(ms(5))
        return system.clock.monotonic() - began

    took, _ = play_pools(scenario)
    assert took <= ms(max_ms)
