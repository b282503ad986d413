"""Keep the table and its history in the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.store import ABSENT
from brasstray.table.errors import TableConflictError, TableUnavailableError
from brasstray.table.table import Table

if TYPE_CHECKING:
    from brasstray.store.store import Store

_PREFIX = "table/"
_DIGITS = 12


class TableStore:
    """Keep each version as an entry of its own, created once.

    The newest entry is the table. Versions without a gap are the history, and an entry
    that was created is never written again, so an accepted change can't be undone by a
    late write.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self, after: int = 0) -> list[Table]:
        """Return the versions beyond `after`, oldest first."""
        tables: list[Table] = []
        last = _name(after) if after else _PREFIX
        try:
            while page := await self._store.scan(_PREFIX, last):
                last = page[-1].name
                tables += [Table.model_validate_json(entry.value) for entry in page]
        except StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        return tables

    async def change(self, wanted: Table) -> Table:
        """Make `wanted` the table and return it.

        Raise TableConflictError if its version was taken by another change.
        """
        value = wanted.model_dump_json().encode()
        try:
            await self._store.swap(_name(wanted.version), value, ABSENT)
        except StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        except StoreConflictError:
            return await self._settle(wanted)
        return wanted

    async def _settle(self, wanted: Table) -> Table:
        # Guards against a change whose reply was lost and that is sent again: it meets
        # itself, which its token tells, and is neither applied twice nor refused.
        tables = await self.read(wanted.version - 1)
        if tables and tables[0].token == wanted.token:
            return tables[0]
        if not tables:
            raise TableUnavailableError(f"version {wanted.version} is not readable")
        raise TableConflictError(tables[-1])


def _name(version: int) -> str:
    return f"{_PREFIX}{version:0{_DIGITS}d}"


__all__ = ["TableStore"]
