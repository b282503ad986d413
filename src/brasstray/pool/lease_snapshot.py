"""Describe the values from which the expiry of a minion's leases is computed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """Hold what is known of the leases on a minion at one moment.

    `until_ms` is the end of the latest lease that may have been granted, and `clock_ms`
    the minion's clock in its last response, received `clock_age` before. Both are times
    on the minion's clock, None before its first response. `asked` is whether this owner
    has requested a lease.
    """

    asked: bool
    until_ms: int | None
    clock_ms: int | None
    clock_age: timedelta


__all__ = ["LeaseSnapshot"]
