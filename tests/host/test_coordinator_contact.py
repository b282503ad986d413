"""Check what a host may assume of the coordinators of a pool that it takes over."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.host.coordinator_contact import CoordinatorContact
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.pool_state import PoolState


def ms(count):
    return timedelta(milliseconds=count)


def state(contact_age_ms, acknowledged_ms):
    return PoolState(
        incarnation=IncarnationId("i"),
        pool=PoolId("dc"),
        token=FencingToken(1),
        free_slots=0,
        wait_ms=0,
        ready=True,
        config_version=ConfigVersion(1),
        contact_age_ms=contact_age_ms,
        acknowledged_ms=acknowledged_ms,
    )


@pytest.mark.parametrize(
    ("states", "now", "age"),
    [
        # Nothing was reported, or not when the report was created.
        ([], 1_000, None),
        ([(None, 900)], 1_000, None),
        ([(40, None)], 1_000, None),
        # The age counts from the heartbeat, also if the report arrives late.
        ([(40, 900)], 1_000, 140),
        ([(40, 900)], 5_000, 4_140),
        # The latest contact holds, whichever report arrives last.
        ([(40, 900), (700, 1_100)], 1_200, 340),
        ([(700, 1_100), (40, 1_200)], 1_300, 140),
    ],
)
def test_age_is_never_less_than_that_of_the_last_contact(states, now, age):
    """A delayed report does not make a contact look more recent than it was."""
    uptime = ms(now)
    contact = CoordinatorContact(lambda: uptime)
    for contact_age_ms, acknowledged_ms in states:
        contact.record_state(state(contact_age_ms, acknowledged_ms))
    assert contact.age == (None if age is None else ms(age))


def test_reports_of_a_replaced_owner_are_discarded():
    """A host that was cut off with a replaced owner knows nothing of the pool."""
    contact = CoordinatorContact(lambda: ms(1_000))
    contact.record_state(state(40, 900))
    contact.reset()
    assert contact.age is None
