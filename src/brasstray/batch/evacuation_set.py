"""Define the set of data centres that operators have evacuated."""

from __future__ import annotations

import msgspec

# Needed at run time: msgspec resolves the annotation to validate peer messages.
from brasstray.job.ids import DataCentreName


class EvacuationSet(msgspec.Struct, frozen=True, array_like=True):
    """Hold the data centres that get no new work, and the store version they came from.

    The set with the higher version wins, even if it has fewer data centres. `as_of` is
    0 for a set that was never read, which is different from an empty set.
    """

    as_of: int = 0
    data_centres: frozenset[DataCentreName] = frozenset()

    @property
    def was_read(self) -> bool:
        """Tell whether the set was ever read from the store."""
        return self.as_of > 0


UNREAD_EVACUATIONS = EvacuationSet()

__all__ = ["UNREAD_EVACUATIONS", "EvacuationSet"]
