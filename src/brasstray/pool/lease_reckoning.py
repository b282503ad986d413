"""Describe what the expiry of the leases on a minion is derived from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LeaseReckoning:
    """Hold what is known of the leases on a minion at a moment.

    `until_ms` is the latest lease that may have been granted, and `clock_ms` what the
    minion showed last, `shown_ago` before; both are times on the minion's clock, None
    while it has shown none. `asked` tells whether this owner has asked for a lease.
    """

    asked: bool
    until_ms: int | None
    clock_ms: int | None
    shown_ago: timedelta


__all__ = ["LeaseReckoning"]
