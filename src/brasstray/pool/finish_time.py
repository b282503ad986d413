"""Estimate when runs end, and when a busy minion could start another task."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from brasstray.pool.run_record import RunRecord


class RunEndEstimate(NamedTuple):
    """Hold when a run probably ends, and the CPU that it then frees."""

    at: timedelta
    cpu_millis: int


def run_ends(records: Iterable[RunRecord], now: timedelta) -> list[RunEndEstimate]:
    """Return when `records` probably end, the first one first, as far as known."""
    return sorted(
        RunEndEstimate(end, record.needs.cpu_millis)
        for record in records
        if (end := run_end(record, now)) is not None
    )


def run_end(record: RunRecord, now: timedelta) -> timedelta | None:
    """Return when `record` probably ends, by its progress; None if unknown.

    A run that is overdue is expected to take as long again as it is overdue: it may
    hang.
    """
    if not record.expected:
        return None
    lasts = record.expected
    if record.percent:
        lasts = (record.progress.moved_at - record.began) * 100 / record.percent
    end = record.began + lasts
    return end if end >= now else now + (now - end)


def room_at(
    ends: Iterable[RunEndEstimate], free: int, needed: int, now: timedelta
) -> timedelta | None:
    """Return when `needed` milli-CPUs are free, of which `free` are free now.

    `free` is negative where tasks already wait for the room. None means not known.
    """
    if free >= needed:
        return now
    for end in ends:
        free += end.cpu_millis
        if free >= needed:
            return end.at
    return None


__all__ = ["RunEndEstimate", "room_at", "run_end", "run_ends"]
