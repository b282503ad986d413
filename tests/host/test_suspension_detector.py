"""Check when a suspension is noticed, and what it says of a request's age."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.host.suspension_detector import BACKLOG_TIME, SuspensionDetector
from brasstray.host.timing import HostTiming

MILLISECOND = timedelta(milliseconds=1)
THRESHOLD = HostTiming().suspension_threshold


class Uptime:
    def __init__(self):
        self.now = timedelta(hours=1)

    def __call__(self):
        return self.now


class Events:
    def __init__(self):
        self.suspensions = []

    def suspended(self, milliseconds):
        self.suspensions.append(milliseconds)


def make_detector():
    uptime, events, discarded = Uptime(), Events(), []
    detector = SuspensionDetector(
        None,
        uptime,
        HostTiming(),
        events,
        lambda: True,
        lambda: discarded.append(uptime.now),
    )
    return detector, uptime, events, discarded


# Guards against a suspension that goes unnoticed until the next periodic check, and
# against one that is reported twice.
@pytest.mark.parametrize("pauses", [(3_000,), (20, 499, 500), (499, 499), (600, 4_000)])
def test_the_first_check_after_a_suspension_notices_it(pauses):
    detector, uptime, events, discarded = make_detector()
    for pause in pauses:
        uptime.now += pause * MILLISECOND
        detector.check()
        detector.check()
    found = [pause for pause in pauses if pause * MILLISECOND >= THRESHOLD]
    assert events.suspensions == found
    assert len(discarded) == len(found)


# Guards against a request that waited unread while the process was suspended, and that
# counts as new: its caller may have sent the job elsewhere since.
@pytest.mark.parametrize(
    ("suspended", "later", "age"),
    [(0, 0, 0), (499, 0, 0), (3_000, 0, 3_000), (700, 99, 700), (3_000, 100, 0)],
)
def test_a_request_may_be_as_old_as_the_suspension(suspended, later, age):
    detector, uptime, _, _ = make_detector()
    uptime.now += suspended * MILLISECOND
    detector.check()
    uptime.now += later * MILLISECOND
    detector.check()
    assert detector.possible_request_age == age * MILLISECOND
    assert BACKLOG_TIME == 100 * MILLISECOND
