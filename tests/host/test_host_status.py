"""Check the status of a host that operators see."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from brasstray.host.host_status import confirmed_status, host_status
from brasstray.host.owner_record import decode_owned_pool, pool_key


def test_an_owner_shows_its_pool_and_others_where_it_is(play_pools):
    async def scenario(system):
        owner, other = system.owner(), system.non_owner()
        return {
            name: host_status(system.hosts[name].host) for name in (owner, other)
        }, owner

    (found, owner), _ = play_pools(scenario)
    for name, status in found.items():
        assert status.host == name
        assert status.state == "ready"
        assert status.config_version == 1
        # Owners exchange their load over links; other hosts have no link to a pool
        # that has none of their tasks.
        assert {one.pool: one.in_reach for one in status.owners} == {
            "dc0": True,
            "dc1": True if name == owner else None,
        }
        assert (status.owned is not None) == (name == owner)
    owned = found[owner].owned
    assert owned.recovered
    assert owned.token == next(o.token for o in found[owner].owners if o.pool == "dc0")
    assert [(m.reach, m.runs, m.free_cpu_millis) for m in owned.minions] == [
        ("leased", 0, 16_000)
    ] * 4
    asking = found[owner].requesters
    assert len(asking) == 3
    assert [name.startswith("dc1") for name in asking] == [False, False, True]


def test_a_host_shows_what_is_evacuated_and_its_source(play_pools):
    async def scenario(system):
        before = host_status(system.hosts["dc0-h0"].host).evacuations
        system.store.cut.add("dc0-h0")
        system.evacuate("dc1")
        await system.clock.sleep(timedelta(seconds=1))
        return before, {
            name: host_status(running.host).evacuations
            for name, running in system.hosts.items()
        }

    (before, found), _ = play_pools(scenario)
    assert (before.data_centres, before.source) == ((), "store")
    for name, status in found.items():
        assert status.data_centres == ("dc1",)
        assert status.as_of > before.as_of
        assert (status.source == "store") == (name != "dc0-h0")


def test_a_draining_host_reports_it(play_pools):
    async def scenario(system):
        host = system.hosts[system.non_owner()].host
        host.drain()
        return host_status(host).state

    state, _ = play_pools(scenario)
    assert state == "draining"


# Two hosts, asked one after the other, both reported that they own the pool, the second
# with the next token. Another host had taken the pool from the first, whose status came
# from the last record that it had read, however old: seconds old where the answer to
# its watch of the store was lost. The status must confirm the ownership first.
@pytest.mark.parametrize("watch", ["just told", "silent"])
def test_a_host_whose_pool_was_taken_does_not_report_it_as_owned(play_pools, watch):
    async def scenario(system):
        owner = system.owner()
        if watch == "silent":
            system.store.silent_watches.add(owner)
            await system.clock.sleep(timedelta(seconds=2))
        (entry,) = system.store.entries(pool_key("dc0"))
        record = decode_owned_pool(entry).owner
        newer = msgspec.structs.replace(record, host="dc0-h9", incarnation="newer")
        system.store.put(entry.name, msgspec.json.encode(newer))
        return await confirmed_status(system.hosts[owner].host)

    status, _ = play_pools(scenario)
    assert status.owned is None


@pytest.mark.parametrize(("away", "least", "most"), [(0, 0, 0), (3_000, 2_900, 5_000)])
def test_an_owner_reports_the_age_of_its_confirmation(play_pools, away, least, most):
    # While the store is unavailable, the owner cannot know whether another host has
    # taken the pool. It goes on, and its status reports the age of the confirmation.
    async def scenario(system):
        owner = system.owner()
        if away:
            system.store.down = True
        await system.clock.sleep(timedelta(milliseconds=away))
        return await confirmed_status(system.hosts[owner].host)

    status, _ = play_pools(scenario)
    assert least <= status.owned.confirmed_ms_ago <= most
