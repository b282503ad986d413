"""Check what operators are shown of a host."""

from __future__ import annotations

from brasstray.host.host_status import host_status


def test_an_owner_shows_its_pool_and_others_where_it_is(play_pools):
    async def story(system):
        owner, other = system.owner(), system.other()
        return {
            name: host_status(system.hosts[name].host) for name in (owner, other)
        }, owner

    (found, owner), _ = play_pools(story)
    for name, status in found.items():
        assert status.host == name
        assert status.state == "ready"
        assert status.config_version == 1
        assert {one.pool: one.in_reach for one in status.owners} == {
            "dc0": True,
            "dc1": True,
        }
        assert (status.owned is not None) == (name == owner)
    owned = found[owner].owned
    assert owned.settled
    assert owned.token == next(o.token for o in found[owner].owners if o.pool == "dc0")
    assert [(m.reach, m.runs, m.free_cpu_millis) for m in owned.minions] == [
        ("held", 0, 16_000)
    ] * 4
    assert len(found[owner].requesters) == 5


def test_a_host_that_leaves_says_so(play_pools):
    async def story(system):
        host = system.hosts[system.other()].host
        host.drain()
        return host_status(host).state

    state, _ = play_pools(story)
    assert state == "draining"
