"""Check that no number in a message of another host ends this one."""

from __future__ import annotations

from datetime import timedelta

import pytest
from msgspec.structs import replace

from brasstray.batch.ids import BatchId, FencingToken
from brasstray.batch.outcome import BatchOutcome
from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_minions import PoolMinions
from brasstray.peer.message.successors import Successors
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.peer.pool_messages import decode_frame, encode_frame
from brasstray.pool.minion_entry import MinionEntry
from brasstray_standins.pool_system import make_batch

EXTREMES = [10**14, 2**53, 2**63 - 1, 2**64, 10**30, 10**400]
VALUES = [*EXTREMES, *(-value for value in EXTREMES)]
JOB = BatchId("e" * 16)


def over_the_wire(message):
    """Return `message` as another host would receive it."""
    return decode_frame(encode_frame([message]))[0]


def messages_with(value, state, job):
    """Return messages with `value` in the place of each number."""
    numbers = ["free_slots", "wait_ms", "contact_age_ms", "acknowledged_ms"]
    numbers += ["acknowledged_age_ms"]
    for name in numbers:
        known = {"acknowledged_ms": 1, "contact_age_ms": 1}
        yield replace(state, **known | {name: value})
    yield replace(state, waits_ms=(value, value))
    yield TasksReturned(batch=job, step=value, indices=(value,), wait_ms=value)
    yield TasksReturned(batch=job, step=0, indices=(0,), wait_ms=value)
    yield TasksEnded(batch=job, step=value, done=(value,), failed=())
    yield Successors(hosts=(), token=FencingToken(value))
    yield PoolMinions(minions=(strange_minion(value),))


def strange_minion(value):
    return MinionEntry(
        MinionId("strange"),
        ServiceName("s"),
        DataCentreName("dc0"),
        "strange",
        1,
        Resources(value, value, value),
        (),
        draining=False,
        cold_left_ms=value,
    )


# Guards against a number of another host that ends this one, or the next owner of its
# pool: a report of load or contact, the wait of a refusal, a minion.
@pytest.mark.parametrize("value", VALUES)
def test_an_extreme_number_in_a_message_ends_no_host(play_pools, value):
    async def scenario(system):
        owner = system.owner()
        for name in sorted(system.hosts):
            host = system.hosts[name].host
            for pool, pool_link in host._directory._links.items():
                state = pool_link.pool_state
                if state is not None:
                    for message in messages_with(value, state, JOB):
                        host.handle_pool_message(pool, over_the_wire(message))
            for link in host.links:
                hello = Hello(
                    host=link.name,
                    incarnation=host.identity.incarnation,
                    config_version=1,
                    sent_ms=value,
                )
                link.record_hello(over_the_wire(hello))
                ping = Ping(config_version=1, sent_ms=value)
                link.record_ping(over_the_wire(ping))
        await system.clock.sleep(timedelta(milliseconds=400))
        system.kill(owner)
        await system.clock.sleep(timedelta(seconds=3))
        return [
            await system.submit(name, make_batch(f"{number:016x}", 4))
            for number, name in enumerate(sorted(system.hosts))
        ]

    results, system = play_pools(scenario)
    assert [result.outcome for result in results] == [BatchOutcome.SUCCEEDED] * len(
        results
    )
    assert system.book.broken == []
