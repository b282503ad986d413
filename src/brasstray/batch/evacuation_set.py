"""Hold which data centres operators have evacuated."""

from __future__ import annotations

import msgspec

# Imported also at run time: messages between hosts carry the names, and check them.
from brasstray.job.ids import DataCentreName


class EvacuationSet(msgspec.Struct, frozen=True, array_like=True):
    """Hold the data centres that get nothing new, and the store's version read.

    Sets are compared by that version: a later one is the truth, also where it has fewer
    data centres. `as_of` is 0 for a set that was never read, which is not an empty one.
    """

    as_of: int = 0
    data_centres: frozenset[DataCentreName] = frozenset()

    @property
    def known(self) -> bool:
        """Tell whether the set was read at all."""
        return self.as_of > 0


NEVER_READ = EvacuationSet()

__all__ = ["NEVER_READ", "EvacuationSet"]
