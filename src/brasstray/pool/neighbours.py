"""Tell from the other runs on a minion whether the minion is slow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.pool.run_record import RunState
from brasstray.pool.straggling import (
    MAX_SLOWDOWN_VS_SIBLINGS,
    MIN_OBSERVATION,
    recent_slowdown,
    slowdown,
)

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.pool.minion import Minion
    from brasstray.pool.run_record import RunRecord


@dataclass(frozen=True, slots=True)
class Neighbours:
    """Hold what the other runs on a minion show; neither if there are none.

    `usual`: one of them goes on as usual, or has ended so during the run.
    `slow`: all of them are slow, or have been stopped for that.
    """

    usual: bool = False
    slow: bool = False


def neighbours_of(record: RunRecord, minion: Minion, now: timedelta) -> Neighbours:
    """Return what the other runs on `minion` show about `record`."""
    paces = [
        pace
        for other in minion.runs.values()
        if other is not record and (pace := _pace(other, now)) is not None
    ]
    if paces:
        usual = min(paces) <= MAX_SLOWDOWN_VS_SIBLINGS
        return Neighbours(usual, not usual)
    ended = minion.health.usual_run_ended
    # An end before this run's last change of pace says nothing about the minion now.
    usual = ended is not None and ended >= record.progress.recent.at
    return Neighbours(usual, slow=not usual and minion.health.found_slow)


def _pace(record: RunRecord, now: timedelta) -> float | None:
    if record.state is not RunState.ACTIVE or not record.expected or record.long_task:
        return None
    recent = recent_slowdown(record, now)
    if recent is not None:
        return recent
    if now - record.began < MIN_OBSERVATION:
        return None
    return slowdown(record, now)


__all__ = ["Neighbours", "neighbours_of"]
