"""Check how long leases may be where a run has lost its coordinator."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import pytest
from tests.pool.test_placement import minion

from brasstray.batch.ids import RunNumber
from brasstray.batch.resources import Resources
from brasstray.batch.task_name import TaskName
from brasstray.pool.renewal_limit import RenewalLimit
from brasstray.pool.run_record import RunRecord, RunState
from brasstray.pool.timing import PoolTiming

LIFETIME_MS = PoolTiming().orphan_lifetime // timedelta(milliseconds=1)


def ms(count):
    return timedelta(milliseconds=count)


class Events:
    def __init__(self):
        self.withheld = 0

    def renewal_withheld(self, minion, contact_age):
        self.withheld += 1


def limited_minion(contacts_ms):
    """Return a minion with a claimed run for each last contact of a coordinator."""
    target = minion("m")
    for number, contact in enumerate(contacts_ms):
        requester = SimpleNamespace(last_contact=ms(contact))
        step = SimpleNamespace(requester=requester)
        record = RunRecord(
            TaskName("a" * 16, 0, number),
            RunNumber(1),
            Resources(),
            ms(0),
            ms(0),
            RunState.ACTIVE,
            SimpleNamespace(parent_step=step),
        )
        target.add(record)
    return target


@pytest.mark.parametrize(
    ("contacts_ms", "now", "until", "binding", "may_renew"),
    [
        ([], 10_000, None, False, True),
        ([900], 1_000, 900 + LIFETIME_MS, False, True),
        ([900, 400], 1_000, 400 + LIFETIME_MS, True, True),
        ([900, 400], 400 + LIFETIME_MS, 400 + LIFETIME_MS, True, False),
    ],
)
@pytest.mark.parametrize("orphaned", [False, True])
def test_oldest_contact_limits_all_leases_of_a_minion(
    contacts_ms, now, until, binding, may_renew, orphaned
):
    """A claimed run does not extend the lease of one that lost its coordinator."""
    events = Events()
    target = limited_minion(contacts_ms)
    if orphaned:
        for record in target.runs.values():
            record.abandon()
    limit = RenewalLimit(target, PoolTiming(), events)
    assert limit.until == (None if until is None else ms(until))
    assert limit.is_binding(ms(now)) is binding
    assert [limit.may_renew(ms(now)) for _ in range(2)] == [may_renew] * 2
    assert events.withheld == (not may_renew)
