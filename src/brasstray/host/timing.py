"""Hold the intervals by which hosts watch one another and the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from brasstray.coordinator.timing import CoordinatorTiming
from brasstray.pool.timing import PoolTiming


def _ms(count: int) -> timedelta:
    return timedelta(milliseconds=count)


@dataclass(frozen=True)
class HostTiming:
    """Set the intervals of a host; docs/INVARIANTS.md has the inequality they keep.

    `ping` goes both ways on every link. `owner_silence` is after how many of them an
    owner counts as lost: low enough that a takeover comes before leases expire.
    `slow_ping` and `slow_owner_silence` take their place between an owner and a host
    that it has not named as a successor, the first while no task of that host is there;
    twice `slow_ping` is the most that `requester_silence` allows.
    `vacancy_timeout` is how long an owner is waited for once it is lost, and
    `claim_jitter` spreads the hosts that would take its pool over at once.
    `newcomer_timeout` is how long a new owner may take to be reached: it learns of its
    claim, opens a connection to each minion and answers each host.
    `takeover_memory` is for how long takeovers count that double the timeout.
    `config_head_start` is how long the store may take to bring a configuration that
    another host has already, before it is fetched from that host.
    `config_part` is how long a part may take that another host was asked for, about a
    takeover.
    `config_hold` is for how long after its start a host keeps requests that come before
    it knows a configuration.
    `load_notice_interval` is how often other owners may be told of changed free slots.
    `tick` is how often what time changes is looked at while a takeover is due, a pool
    is owned or a job is at work, and `calm_tick` otherwise.
    `vacancy_check` is how often a host looks for a vacancy that no event has told of.
    `late` is from how much lag on this process reports that its loop was late.
    `freeze` is after how long a suspension this process distrusts what it knows.
    """

    ping: timedelta = _ms(150)
    slow_ping: timedelta = _ms(300)
    owner_silence: timedelta = _ms(400)
    slow_owner_silence: timedelta = _ms(800)
    reconnect: timedelta = _ms(30)
    vacancy_timeout: timedelta = _ms(60)
    claim_jitter: timedelta = _ms(80)
    newcomer_timeout: timedelta = _ms(600)
    takeover_memory: timedelta = _ms(10_000)
    config_head_start: timedelta = _ms(300)
    config_part: timedelta = _ms(600)
    config_hold: timedelta = _ms(400)
    config_watch: timedelta = _ms(1_500)
    pool_watch: timedelta = _ms(2_500)
    store_retry: timedelta = _ms(150)
    tick: timedelta = _ms(20)
    calm_tick: timedelta = _ms(100)
    load_notice_interval: timedelta = _ms(10)
    vacancy_check: timedelta = _ms(500)
    late: timedelta = _ms(100)
    freeze: timedelta = _ms(500)
    pool: PoolTiming = field(default_factory=PoolTiming)
    coordinator: CoordinatorTiming = field(default_factory=CoordinatorTiming)


__all__ = ["HostTiming"]
