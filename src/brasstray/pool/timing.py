"""Define the intervals and timeouts of the owner of a pool."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


def _ms(count: int) -> timedelta:
    return timedelta(milliseconds=count)


@dataclass(frozen=True)
class PoolTiming:
    """Set the owner's intervals; docs/INVARIANTS.md has the inequality they satisfy.

    - `lease`: how far ahead a hold extends the leases of runs. Below the platform's
      limit of 1 s, and long enough for a takeover.
    - `longest_lease`: the longest lease that minions grant, which an owner assumes
      where it does not know what another has requested.
    - `clock_rate_error`: how much slower than the owner's clock a minion's may run.
    - `hold_wait`, `idle_hold_wait`: how long a hold waits for a run to end, with and
      without runs; also how soon the death of a minion is detected. The end of a run
      answers a hold at once, so longer waits only save calls; a quarter of the lease
      leaves the rest to a takeover.
    - `lossy_hold_wait`: the same for `lossy_period` after a reply was lost.
    - `call_timeout`, `probe_timeout`: how long a start or stop, or the reply to a
      probe, may take.
    - `recovery_timeout`: how long a new owner waits for unreachable minions.
    - `probe_backoff`: the first pause between probes of an unreachable minion.
    - `stop_time`: the platform's limit on the duration of a stop, plus a margin.
    - `orphan_timeout`: how long orphaned runs continue after the recovery, unless
      `orphan_lifetime` is over sooner.
    - `orphan_lifetime`: how long a run may be active after the last contact with its
      coordinator, whichever hosts own the pool meanwhile. A caller may submit the job
      to another data centre 1.3 s after its connection broke.
    - `stop_lead`: how long before the end of `orphan_lifetime` an orphaned run is
      stopped, so that the other leases on its minion can be renewed after its end.
    - `last_stop_lead`: the same where an owner took over late: two calls and a stop.
    - `min_claim_time`: how long requesters have at least to claim runs from a new
      owner, unless `last_stop_lead` leaves less, but at least `quick_claim_time`.
    - `requester_silence`: the silence after which a requester's tasks are stopped.
    - `list_interval`: how often the list of minions is read; a draining minion must get
      nothing new within 2 s.
    - `missing_grace`: how long a minion may be missing from the list. Entries that
      expired while the store was unavailable are back within about 2 s.
    """

    lease: timedelta = _ms(800)
    longest_lease: timedelta = _ms(1_000)
    clock_rate_error: float = 0.02
    hold_wait: timedelta = _ms(200)
    idle_hold_wait: timedelta = _ms(400)
    lossy_hold_wait: timedelta = _ms(30)
    lossy_period: timedelta = _ms(3_000)
    call_timeout: timedelta = _ms(60)
    probe_timeout: timedelta = _ms(60)
    recovery_timeout: timedelta = _ms(300)
    probe_backoff: timedelta = _ms(100)
    stop_time: timedelta = _ms(60)
    orphan_timeout: timedelta = _ms(400)
    orphan_lifetime: timedelta = _ms(1_240)
    stop_lead: timedelta = _ms(350)
    last_stop_lead: timedelta = _ms(140)
    min_claim_time: timedelta = _ms(150)
    quick_claim_time: timedelta = _ms(30)
    requester_silence: timedelta = _ms(600)
    list_interval: timedelta = _ms(500)
    missing_grace: timedelta = _ms(3_000)


__all__ = ["PoolTiming"]
