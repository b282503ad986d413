"""Store the table and its history in the platform's key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.store import ABSENT
from brasstray.table.errors import TableConflictError, TableUnavailableError
from brasstray.table.table import Table

if TYPE_CHECKING:
    from brasstray.store.store import Store

_PREFIX = "table/"
_VERSION_DIGITS = 12


class TableStore:
    """Store each version of the table as a separate entry that is never overwritten.

    The newest entry is the current table, and the older ones are its history, without
    gaps. Since entries are created once and never overwritten, a delayed write can't
    undo an accepted change.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self, after: int = 0) -> list[Table]:
        """Return the versions after `after`, oldest first."""
        tables: list[Table] = []
        last = _name(after) if after else _PREFIX
        try:
            while page := await self._store.scan(_PREFIX, last):
                last = page[-1].name
                tables += [Table.model_validate_json(entry.value) for entry in page]
        except StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        return tables

    async def change(self, proposed: Table) -> Table:
        """Store `proposed` as the new version of the table and return it.

        Raise TableConflictError if another change already has that version.
        """
        value = proposed.model_dump_json().encode()
        try:
            await self._store.compare_and_swap(_name(proposed.version), value, ABSENT)
        except StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        except StoreConflictError:
            return await self._resolve_conflict(proposed)
        return proposed

    async def _resolve_conflict(self, proposed: Table) -> Table:
        # A change whose reply was lost is sent again and conflicts with itself. The
        # token identifies it, so it is neither applied twice nor rejected.
        tables = await self.read(proposed.version - 1)
        if tables and tables[0].token == proposed.token:
            return tables[0]
        if not tables:
            raise TableUnavailableError(
                f"version {proposed.version} exists but could not be read"
            )
        raise TableConflictError(tables[-1])


def _name(version: int) -> str:
    return f"{_PREFIX}{version:0{_VERSION_DIGITS}d}"


__all__ = ["TableStore"]
