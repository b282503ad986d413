"""Check that orphaned runs end in time, however often their pool is taken over.

A client retries a job `RESEND` after its connection broke or it received 502 or 504,
and the retry may run anywhere. By then no run of the first attempt may be active.
Meanwhile owners of the pool may die in a row, each after any tenure, and stops may get
lost. The run may start late, from the queue of the first owner. On the same minion
there is a run of a living coordinator, a neighbour, which must not be lost. Time
advances in ticks of 20 ms; the intervals are the defaults of the code.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from brasstray.host.timing import HostTiming

if TYPE_CHECKING:
    from collections.abc import Iterator

TICK = timedelta(milliseconds=20)
RESEND = timedelta(milliseconds=1_300)


@dataclass(frozen=True)
class Intervals:
    """Hold the intervals in ticks, each rounded towards the worse case.

    `requester_silence` and `orphan_lifetime` count from the last contact with the
    coordinator, `orphan_timeout` from a takeover. Without `orphan_lifetime`, owners
    know nothing from before their own takeover. `lease_at_takeover` is left if an owner
    dies just before a renewal and another takes over as planned. `give_up_delay` is the
    time from the last contact until the caller is informed; 0 if the coordinator dies,
    as its callers notice immediately. `starts_limited` is whether no task starts where
    a lease is longer than the rest of its lifetime.
    """

    requester_silence: int
    lease: int
    lease_at_takeover: int
    orphan_timeout: int
    orphan_lifetime: int | None
    stop_lead: int
    last_stop_lead: int
    min_claim_time: int
    quick_claim_time: int
    renewal_lead: int
    stop_time: int
    give_up_delay: int
    resend: int
    starts_limited: bool = True


def configured_intervals(*, coordinator_dies: bool) -> Intervals:
    """Return the default intervals of the code."""
    host = HostTiming()
    pool, coordinator = host.pool, host.coordinator
    takeover = host.vacancy_timeout + host.claim_jitter
    slow_clock_lease = pool.lease / (1 - pool.clock_rate_error)
    give_up_delay = timedelta(0) if coordinator_dies else coordinator.lost_pool_timeout
    return Intervals(
        requester_silence=_ticks(pool.requester_silence),
        lease=_ticks(slow_clock_lease),
        lease_at_takeover=(pool.lease - pool.hold_wait - takeover) // TICK,
        orphan_timeout=_ticks(pool.orphan_timeout + pool.recovery_timeout),
        orphan_lifetime=_ticks(pool.orphan_lifetime),
        stop_lead=pool.stop_lead // TICK,
        last_stop_lead=pool.last_stop_lead // TICK,
        min_claim_time=_ticks(pool.min_claim_time),
        quick_claim_time=_ticks(pool.quick_claim_time),
        renewal_lead=pool.call_timeout // TICK,
        stop_time=_ticks(pool.stop_time),
        give_up_delay=give_up_delay // TICK,
        resend=RESEND // TICK,
    )


def _ticks(interval: timedelta) -> int:
    return -(-interval // TICK)


class State(NamedTuple):
    """The state of a pool, its minion and the two runs there.

    `owner` is "first", "none" or "later". `age` counts from the last contact with the
    coordinator of the orphaned run. `tenure` counts from the last takeover. `stop_left`
    is None if no stop is under way. `queued` is set until the orphaned run starts.
    `doomed` is set where the neighbour cannot be
    expected to survive: a takeover came late, or a stop was lost.
    """

    owner: str
    age: int
    tenure: int
    lease_left: int
    stop_left: int | None
    claimed: bool
    queued: bool
    orphan: bool
    neighbour: bool
    doomed: bool


def initial(intervals: Intervals) -> State:
    """Return the state when the owner receives the coordinator's last message."""
    return State("first", 0, 0, intervals.lease, None, True, True, True, True, False)


def steps(
    s: State, intervals: Intervals, *, stops_lost: bool
) -> Iterator[tuple[str, State]]:
    """Yield the events possible now, and the passing of one tick."""
    if s.age >= intervals.give_up_delay + intervals.resend:
        return
    if s.queued:
        yield from _queued_steps(s, intervals)
        return
    if s.owner != "none":
        yield "the owner dies", s._replace(owner="none", claimed=False)
    else:
        doomed = s.doomed or s.lease_left < intervals.lease_at_takeover
        taken = s._replace(owner="later", tenure=0, doomed=doomed)
        yield "another takes over", taken
    if s.owner == "later" and not s.claimed:
        yield "the neighbour is claimed", s._replace(claimed=True)
    if s.owner == "none" or s.claimed or s.tenure < intervals.min_claim_time:
        yield "a tick passes", _tick(s, intervals, stop_lost=False)
        if (
            stops_lost
            and s.orphan
            and s.stop_left is None
            and _is_stop_due(s, intervals)
        ):
            yield "a tick passes, a stop is lost", _tick(s, intervals, stop_lost=True)


def _queued_steps(s: State, intervals: Intervals) -> Iterator[tuple[str, State]]:
    """Yield the start, and the passing of one tick until the requester is dropped."""
    lifetime = intervals.orphan_lifetime
    limited = intervals.starts_limited and lifetime is not None
    if not limited or s.lease_left <= lifetime - s.age:
        yield "the task starts", s._replace(queued=False)
    if s.age < intervals.requester_silence:
        waited = s._replace(age=s.age + 1)
        yield "a tick passes", waited._replace(lease_left=max(0, s.lease_left - 1))
        yield "a tick passes, a renewal", waited._replace(lease_left=intervals.lease)


def _is_stop_due(s: State, intervals: Intervals) -> bool:
    if s.owner == "none":
        return False
    lifetime = intervals.orphan_lifetime
    aged = lifetime is not None and s.age >= lifetime - intervals.stop_lead
    if s.owner == "first" and lifetime is None:
        return s.age >= intervals.requester_silence
    if s.owner == "first":
        # The runs of a host whose link closes after a silence continue until then.
        return aged
    waited = s.tenure >= intervals.orphan_timeout
    if waited or not aged or s.tenure < _min_claim_time(s, intervals):
        return waited
    # Where no run is claimed, an early stop would serve none.
    return s.claimed and s.age < lifetime - intervals.renewal_lead


def _min_claim_time(s: State, intervals: Intervals) -> int:
    """Return how long claims are awaited, less if a stop would come too late."""
    left = (intervals.orphan_lifetime or 0) - intervals.last_stop_lead
    left -= s.age - s.tenure
    if left < intervals.quick_claim_time:
        return intervals.min_claim_time
    return min(left, intervals.min_claim_time)


def _tick(s: State, intervals: Intervals, *, stop_lost: bool) -> State:
    stop = None if s.stop_left is None else max(0, s.stop_left - 1)
    if s.orphan and stop is None and not stop_lost and _is_stop_due(s, intervals):
        stop = intervals.stop_time
    lease = max(0, s.lease_left - 1)
    if s.owner != "none":
        lease = max(lease, _renewed_lease(s, intervals))
    # A run that is being stopped ends at the end of its stop, not with its lease.
    orphan = s.orphan and stop != 0 and (lease > 0 or stop is not None)
    if not orphan:
        stop = None
    return State(
        s.owner,
        s.age + 1,
        min(s.tenure + 1, intervals.orphan_timeout),
        lease,
        stop,
        s.claimed,
        s.queued,
        orphan,
        s.neighbour and lease > 0,
        s.doomed or stop_lost or (s.owner == "none" and lease == 0),
    )


def _renewed_lease(s: State, intervals: Intervals) -> int:
    """Return the longest lease that an owner requests.

    A later owner knows no contact of the neighbour before its claim.
    """
    lifetime = intervals.orphan_lifetime
    if lifetime is None or (not s.orphan and s.claimed):
        return intervals.lease
    return min(intervals.lease, lifetime - s.age - 1)


def ended_before_resend(s: dict) -> bool:
    """No run of the first attempt is active when the job is sent again."""
    return not s["orphan"] or s["queued"] or s["age"] < s["resend_at"]


def neighbour_survives(s: dict) -> bool:
    """The run of the living coordinator is not lost if it could be saved."""
    return s["neighbour"] or s["doomed"]


def resend_model(intervals: Intervals, *, stops_lost: bool = True) -> Protocol:
    """Return the timing model for `intervals`.

    With `stops_lost`, any stop may get lost, and only leases end the run.
    """
    resend_at = intervals.give_up_delay + intervals.resend

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        successors = steps(State(*values[:-1]), intervals, stops_lost=stops_lost)
        return [(label, (*after, resend_at)) for label, after in successors]

    return Protocol(
        name=str(intervals),
        candidate=False,
        fields=(*State._fields, "resend_at"),
        initial=(*initial(intervals), resend_at),
        transitions=transitions,
        invariants={
            "ended_before_resend": ended_before_resend,
            "neighbour_survives": neighbour_survives,
        },
    )


__all__ = ["Intervals", "configured_intervals", "resend_model"]
