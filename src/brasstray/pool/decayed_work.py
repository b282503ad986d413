"""Add up work over the recent past."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable
    from datetime import timedelta

# Amounts below this are forgotten.
NEGLIGIBLE = 1e-3

K = TypeVar("K", bound="Hashable")


# A rate is the mean over at least this part of the period.
MIN_PART = 0.2


@dataclass(slots=True)
class _Amount:
    value: float
    at: timedelta
    since: timedelta


class DecayedWork(Generic[K]):
    """Hold an amount per key, in core seconds or another unit, that decays."""

    def __init__(self, period: timedelta) -> None:
        self._period = period
        self._amounts: dict[K, _Amount] = {}

    def add(self, key: K, value: float, now: timedelta) -> None:
        """Add `value` to what is left of the amount of `key`."""
        self._set(key, self.get(key, now) + value, now)

    def raise_to(self, key: K, value: float, now: timedelta) -> None:
        """Set the amount of `key` to `value`, if that is more."""
        if value > self.get(key, now):
            self._set(key, value, now)

    def _set(self, key: K, value: float, now: timedelta) -> None:
        known = self._amounts.get(key)
        since = now if known is None else known.since
        self._amounts[key] = _Amount(value, now, since)

    def get(self, key: K, now: timedelta) -> float:
        """Return what is left of the amount of `key` at `now`."""
        known = self._amounts.get(key)
        if known is None:
            return 0.0
        return known.value * exp(-((now - known.at) / self._period))

    def rate(self, key: K, now: timedelta) -> float:
        """Return the mean rate of `key` per second, since it was first seen."""
        known = self._amounts.get(key)
        if known is None:
            return 0.0
        part = max(MIN_PART, 1 - exp(-((now - known.since) / self._period)))
        return self.get(key, now) / (self._period.total_seconds() * part)

    def keys(self, now: timedelta) -> list[K]:
        """Return the keys with recent amounts, and forget the others."""
        for key in [k for k in self._amounts if self.get(k, now) < NEGLIGIBLE]:
            del self._amounts[key]
        return list(self._amounts)


__all__ = ["DecayedWork"]
