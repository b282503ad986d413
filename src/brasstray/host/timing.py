"""Define the intervals at which hosts monitor one another and the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from brasstray.coordinator.timing import CoordinatorTiming
from brasstray.pool.timing import PoolTiming


def _ms(count: int) -> timedelta:
    return timedelta(milliseconds=count)


@dataclass(frozen=True)
class HostTiming:
    """Define the intervals of a host; docs/INVARIANTS.md has the inequality they keep.

    Heartbeats go both ways on every link, every `heartbeat_interval`. An owner that is
    silent for `owner_silence_timeout` counts as lost; the timeout is short enough for a
    takeover to complete before leases expire.
    Between an owner and a host that it has not named as a successor,
    `slow_heartbeat_interval` (only while none of that host's tasks are in the pool) and
    `slow_owner_silence_timeout` apply instead. `requester_silence` allows at most twice
    `slow_heartbeat_interval`.
    `reconnect_delay` passes between two attempts to connect to an owner.
    `vacancy_timeout` is the wait for a lost owner before its pool is claimed;
    `claim_jitter` spreads out hosts that would otherwise claim it at the same time.
    `new_owner_timeout` is how long a new owner may take to become reachable: it has to
    learn that its claim succeeded, connect to each minion and answer each host.
    `takeover_window` is how long a takeover counts towards the doubling of the vacancy
    timeout.
    `config_fetch_delay` is how long the store may take to deliver a configuration that
    another host already has, before it is fetched from that host.
    `config_part_timeout` is the timeout for one part of a configuration requested from
    another host, about the duration of a takeover.
    `first_config_timeout` is how long after its start a host holds back requests
    while it has no configuration.
    `config_watch_timeout` and `pool_watch_timeout` limit one watch request to the
    store; `store_retry_delay` is the pause after the store did not answer.
    `tick` is the polling interval while a takeover is due, a pool is owned or a job is
    active; `idle_tick` is the interval otherwise.
    `load_notice_interval` is the minimum time between two notices to other owners that
    free slots have changed.
    `vacancy_check_interval` is how often a host checks for a vacancy that no event has
    reported.
    `late_threshold` is the event loop lag from which a late loop is reported.
    `suspension_threshold` is the length of a suspension after which the process
    discards what it knows.
    """

    heartbeat_interval: timedelta = _ms(150)
    slow_heartbeat_interval: timedelta = _ms(300)
    owner_silence_timeout: timedelta = _ms(400)
    slow_owner_silence_timeout: timedelta = _ms(800)
    reconnect_delay: timedelta = _ms(30)
    vacancy_timeout: timedelta = _ms(60)
    claim_jitter: timedelta = _ms(80)
    new_owner_timeout: timedelta = _ms(600)
    takeover_window: timedelta = _ms(10_000)
    config_fetch_delay: timedelta = _ms(300)
    config_part_timeout: timedelta = _ms(600)
    first_config_timeout: timedelta = _ms(400)
    config_watch_timeout: timedelta = _ms(1_500)
    pool_watch_timeout: timedelta = _ms(2_500)
    store_retry_delay: timedelta = _ms(150)
    tick: timedelta = _ms(20)
    idle_tick: timedelta = _ms(100)
    load_notice_interval: timedelta = _ms(10)
    vacancy_check_interval: timedelta = _ms(500)
    late_threshold: timedelta = _ms(100)
    suspension_threshold: timedelta = _ms(500)
    pool: PoolTiming = field(default_factory=PoolTiming)
    coordinator: CoordinatorTiming = field(default_factory=CoordinatorTiming)


__all__ = ["HostTiming"]
