"""Check that the runs of a job end in time after contact with its coordinator is lost.

A client retries a job `RESEND` after its connection broke or it received 502 or 504,
and the retry may run anywhere. By then no run of the first attempt may be active.
Meanwhile the pool's owner may die, and another may take over just before the leases
expire. Time advances in ticks of 20 ms; the intervals are the defaults of the code.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from brasstray.coordinator.timing import CoordinatorTiming
from brasstray.pool.timing import PoolTiming

if TYPE_CHECKING:
    from collections.abc import Iterator

TICK = timedelta(milliseconds=20)
RESEND = timedelta(milliseconds=1_300)


@dataclass(frozen=True)
class Intervals:
    """Hold the intervals in ticks, each rounded towards the worse case.

    `give_up_delay` is the time from the coordinator's last message to the owner until
    the caller is informed that the job was given up.
    """

    requester_silence: int
    lease: int
    orphan_timeout: int
    stop_time: int
    give_up_delay: int
    resend: int


def configured_intervals() -> Intervals:
    """Return the default intervals of the code."""
    pool, coordinator = PoolTiming(), CoordinatorTiming()
    slow_clock_lease = pool.lease / (1 - pool.clock_rate_error)
    return Intervals(
        requester_silence=_ticks(pool.requester_silence),
        lease=_ticks(slow_clock_lease),
        orphan_timeout=_ticks(pool.orphan_timeout + pool.recovery_timeout),
        stop_time=_ticks(pool.stop_time),
        give_up_delay=coordinator.lost_pool_timeout // TICK,
        resend=RESEND // TICK,
    )


def _ticks(interval: timedelta) -> int:
    return -(-interval // TICK)


class State(NamedTuple):
    """The ticks left until each event; None if it is not scheduled.

    `owner` is "first", "dead" or "second". `running` is false once the run has ended.
    """

    owner: str
    silence_left: int
    lease_left: int
    orphan_left: int | None
    stop_left: int | None
    resend_left: int
    running: bool


def initial(intervals: Intervals) -> State:
    """Return the state when the owner receives the coordinator's last message."""
    return State(
        "first",
        intervals.requester_silence,
        intervals.lease,
        None,
        None,
        intervals.give_up_delay + intervals.resend,
        True,
    )


def steps(s: State, intervals: Intervals) -> Iterator[tuple[str, State]]:
    """Yield the events possible now, and the passing of one tick."""
    if s.owner == "first":
        # The owner may have renewed the lease immediately before it died.
        dead = s._replace(owner="dead", lease_left=intervals.lease, stop_left=None)
        yield "the owner dies", dead
    if s.owner == "dead" and s.running:
        taken_over = s._replace(owner="second", orphan_left=intervals.orphan_timeout)
        yield "another takes over", taken_over
    if s.resend_left > 0:
        yield "a tick passes", _tick(s, intervals)


def _tick(s: State, intervals: Intervals) -> State:
    silence = max(0, s.silence_left - 1)
    lease = intervals.lease if s.owner != "dead" else max(0, s.lease_left - 1)
    orphan = None if s.orphan_left is None else max(0, s.orphan_left - 1)
    stop = None if s.stop_left is None else max(0, s.stop_left - 1)
    must_stop = (s.owner == "first" and silence == 0) or (
        s.owner == "second" and orphan == 0
    )
    if must_stop and stop is None:
        stop = intervals.stop_time
    running = s.running and lease > 0 and stop != 0
    return State(s.owner, silence, lease, orphan, stop, s.resend_left - 1, running)


def ended_before_resend(s: dict) -> bool:
    """No run of the first attempt is active when the job is sent again."""
    return s["resend_left"] > 0 or not s["running"]


def resend_model(intervals: Intervals) -> Protocol:
    """Return the timing model for `intervals`."""
    return Protocol(
        name=str(intervals),
        candidate=False,
        fields=State._fields,
        initial=initial(intervals),
        transitions=lambda values: list(steps(State(*values), intervals)),
        invariants={"ended_before_resend": ended_before_resend},
    )


__all__ = ["Intervals", "configured_intervals", "resend_model"]
