"""Define the exceptions of the operators' table."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.table.table import Table


class TableError(Exception):
    """Base class of the table's exceptions."""


class TableConflictError(TableError):
    """Another change has taken the version; the rejected change had no effect."""

    def __init__(self, current: Table) -> None:
        super().__init__(
            f"{current.author} has already written version {current.version}"
        )
        self._current = current

    @property
    def current(self) -> Table:
        """Return the current table."""
        return self._current


class TableUnavailableError(TableError):
    """The platform's store could not be reached, or a version could not be read.

    A change may have taken effect. Retrying it with the same token applies it at most
    once.
    """


__all__ = ["TableConflictError", "TableError", "TableUnavailableError"]
