"""Measure the bytes and CPU time of reports on learned values between hosts."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
from brasstray.host.learned_feed import REPORT_INTERVAL
from brasstray.job.ids import HostName, IncarnationId, MinionKey
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.successors import Successors
from brasstray.peer.pool_messages import encode_frame
from brasstray.pool.durations import Durations
from brasstray.pool.learned_encoding import encode_values
from brasstray.pool.learned_report import SentValues

if TYPE_CHECKING:
    from brasstray.peer.pool_messages import PoolMessage
    from brasstray.pool.learned_values import LearnedValues
    from brasstray.pool.step_tasks import StepTasks

# Standard deviations of logarithms: of single runs, and of true speeds and ratios.
RUN_NOISE = 0.25
SPREAD = 0.35
QUEUES = 30
ESTIMATE = timedelta(milliseconds=60)
PLAY_TIME = timedelta(minutes=3)
# Until then, reports tell what was unknown.
WARM_UP = timedelta(minutes=1)
# Minions and runs a second of a pool.
POOLS = ((90, 150), (90, 600), (333, 500), (2_000, 1_000), (2_000, 3_000))
SUCCESSORS = tuple(HostName(f"edge-utrecht-a-{number}") for number in range(3))
STATE = PoolState(
    incarnation=IncarnationId("utrecht-a/edge-utrecht-a-1/0123456789abcdef"),
    pool=PoolId("utrecht-a"),
    token=FencingToken(6_201),
    free_slots=12,
    wait_ms=0,
    ready=True,
    config_version=ConfigVersion(12),
)


@dataclass(frozen=True)
class ReportRow:
    """Hold what reports to one successor, and one owner elsewhere, take."""

    minions: int
    runs_per_s: int
    successor_bytes_per_s: float
    largest_report_bytes: int
    warm_up_bytes: int
    other_owner_bytes_per_s: float
    processor_ms_per_report: float


def run(seed: int) -> list[ReportRow]:
    """Return one row for each size of a pool with QUEUES queues."""
    return [_play(minions, rate, Random(seed)) for minions, rate in POOLS]


class _Pool:
    """Learn from runs on uneven minions."""

    def __init__(self, minions: int, random: Random) -> None:
        self._random = random
        self.now = timedelta(0)
        self.durations = Durations(1.0, lambda: self.now)
        self._speeds = {
            MinionKey(
                f"i-{random.getrandbits(40):010x}@{1_764_783_245_123 + number}"
            ): (random.lognormvariate(0, SPREAD))
            for number in range(minions)
        }
        self._queues = [
            (_step(f"queue-name-{number:02d}"), random.lognormvariate(0, SPREAD))
            for number in range(QUEUES)
        ]

    def run_tasks(self, count: int) -> None:
        minions = list(self._speeds.items())
        for _ in range(count):
            minion, speed = self._random.choice(minions)
            step, ratio = self._random.choice(self._queues)
            took = ESTIMATE * speed * ratio * self._random.lognormvariate(0, RUN_NOISE)
            expected = self.durations.expected(step, minion, ())
            self.durations.learn(step, minion, expected, took)


def _step(queue: str) -> StepTasks:
    return cast("StepTasks", SimpleNamespace(queue=queue, estimate=ESTIMATE, rack=""))


def _play(minions: int, rate: int, random: Random) -> ReportRow:
    pool = _Pool(minions, random)
    successor, owner = SentValues(), SentValues()
    successor_sizes, owner_sizes, cpu = [], [], 0.0
    reports = PLAY_TIME // REPORT_INTERVAL
    for _ in range(reports):
        pool.run_tasks(rate * REPORT_INTERVAL // timedelta(seconds=1))
        pool.now += REPORT_INTERVAL
        started_at = time.process_time()
        learned = pool.durations.learned
        told = _encoded(successor, learned, pool.now)
        cpu += time.process_time() - started_at
        successor_sizes.append(_size(Successors(hosts=SUCCESSORS, learned=told), told))
        told = _encoded(owner, replace(learned, minions={}), pool.now)
        owner_sizes.append(_size(_state(told), told))
    warm = WARM_UP // REPORT_INTERVAL
    seconds = (PLAY_TIME - WARM_UP) / timedelta(seconds=1)
    return ReportRow(
        minions,
        rate,
        sum(successor_sizes[warm:]) / seconds,
        max(successor_sizes),
        sum(successor_sizes[:warm]),
        sum(owner_sizes[warm:]) / seconds,
        1_000 * cpu / reports,
    )


def _encoded(sent: SentValues, learned: LearnedValues, now: timedelta) -> object:
    return encode_values(sent.next_report(learned, now), now)


def _state(learned: object) -> PoolState:
    fields = {name: getattr(STATE, name) for name in STATE.__struct_fields__}
    return PoolState(**{**fields, "learned": learned})


def _size(message: PoolMessage, learned: object) -> int:
    """Return the bytes of `message`, which is only sent if it tells anything."""
    return 0 if learned is None else len(encode_frame([message]))


__all__ = ["ReportRow", "run"]
