"""Read and append the segments of a data centre's journal in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from brasstray.journal.errors import DeposedError, JournalUnavailableError
from brasstray.journal.segment import Segment
from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.store import ABSENT

if TYPE_CHECKING:
    from brasstray.job.ids import DataCentreName
    from brasstray.store.store import Store

_INDEX_DIGITS = 12


class Journal:
    """Store numbered segments, each created once by compare-and-swap."""

    def __init__(self, store: Store, data_centre: DataCentreName) -> None:
        self._store = store
        self._prefix = f"journal/{data_centre}/"
        self._lease_name = f"lease/{data_centre}"

    def _name(self, index: int) -> str:
        return f"{self._prefix}{index:0{_INDEX_DIGITS}d}"

    async def append(self, index: int, segment: Segment) -> Segment:
        """Write `segment` at `index` and return it.

        If the same writer and term have already written a segment there, return that
        one. Raise DeposedError if another term has, and JournalUnavailableError if
        the outcome is unknown.
        """
        value = cbor2.dumps(segment.model_dump(mode="json"))
        try:
            await self._store.compare_and_swap(self._name(index), value, ABSENT)
        except StoreConflictError:
            return await self._resolve_conflict(index, segment)
        except StoreUnavailableError as error:
            raise JournalUnavailableError(str(error)) from error
        return segment

    async def _resolve_conflict(self, index: int, segment: Segment) -> Segment:
        # A write whose reply was lost conflicts with its own retry. Reading the segment
        # back distinguishes this from a write by another leader, since a segment is
        # never overwritten and contains its writer and term.
        try:
            entry = await self._store.get(self._name(index))
        except StoreUnavailableError as error:
            raise JournalUnavailableError(str(error)) from error
        if entry is None:
            raise DeposedError(f"segment {index} was written and has been deleted")
        found = _decode(entry.value)
        if (found.term, found.writer) != (segment.term, segment.writer):
            raise DeposedError(
                f"term {found.term} of {found.writer} has written segment {index}"
            )
        return found

    async def read(self, after: int) -> list[tuple[int, Segment]]:
        """Return all segments with an index greater than `after`, in order."""
        found: list[tuple[int, Segment]] = []
        last = self._name(after) if after >= 0 else ""
        try:
            while page := await self._store.scan(self._prefix, last):
                last = page[-1].name
                found.extend(
                    (int(entry.name.removeprefix(self._prefix)), _decode(entry.value))
                    for entry in page
                )
        except StoreUnavailableError as error:
            raise JournalUnavailableError(str(error)) from error
        return found

    async def delete_segment(self, index: int) -> None:
        """Delete the segment at `index`."""
        try:
            await self._store.delete(self._name(index))
        except StoreUnavailableError as error:
            raise JournalUnavailableError(str(error)) from error

    async def lease_version(self) -> int:
        """Return the version of the lease entry, which changes with each renewal."""
        try:
            entry = await self._store.get(self._lease_name)
        except StoreUnavailableError as error:
            raise JournalUnavailableError(str(error)) from error
        return entry.version if entry is not None else ABSENT

    async def renew_lease(self) -> None:
        """Rewrite the lease entry, so that its version changes."""
        version = await self.lease_version()
        try:
            await self._store.compare_and_swap(self._lease_name, b"", version)
        except (StoreConflictError, StoreUnavailableError) as error:
            raise JournalUnavailableError(str(error)) from error


def _decode(value: bytes) -> Segment:
    return Segment.model_validate(cbor2.loads(value))


__all__ = ["Journal"]
