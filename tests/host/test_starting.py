"""Check what a host does with requests that come as soon as it listens."""

from __future__ import annotations

from datetime import timedelta

import pytest


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize(
    ("store_down", "asked_after", "known", "max_ms"),
    [
        (False, 0, True, 50),
        (False, 100, True, 0),
        # Nobody knows when the store will be back: callers are told so soon after the
        # start, and at once later.
        (True, 0, False, 400),
        (True, 300, False, 100),
        (True, 500, False, 0),
    ],
)
def test_a_request_waits_briefly_for_the_first_configuration(
    play_pools, store_down, asked_after, known, max_ms
):
    # All hosts of a data centre lost power and are back. Callers come to each as soon
    # as it listens, some 10 ms before the store has told it which requests there are:
    # 26 to 44 of them were turned away in that quarter of a second on a users' day.
    async def scenario(system):
        name = system.other()
        system.kill(name)
        system.store.down = store_down
        host = system.start(name, "dc0").host
        await system.clock.sleep(ms(asked_after))
        began = system.clock.monotonic()
        found = await host.first_config()
        return found is not None, system.clock.monotonic() - began

    (found, took), _ = play_pools(scenario)
    assert found is known
    assert took <= ms(max_ms)
