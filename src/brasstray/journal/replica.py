"""Hold copies of a leader's records while the platform is unavailable."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.journal.records import Record


class Replica:
    """Store unflushed records by term and number, and reject those of fenced terms.

    A number without a record marks the start of a platform outage.
    """

    def __init__(self) -> None:
        self._fenced_term = 0
        self._copies: dict[int, dict[int, Record | None]] = {}

    def __len__(self) -> int:
        return sum(len(copies) for copies in self._copies.values())

    def hold(self, term: int, copies: dict[int, Record | None]) -> bool:
        """Store `copies`; if the term is fenced, return False and store nothing.

        If a copy were accepted after its leader was replaced, two executors could
        start the tasks of one key. The new leader fences the term here before it binds
        any key, so the old leader can't get the confirmation it needs.
        """
        if term <= self._fenced_term:
            return False
        self._copies.setdefault(term, {}).update(copies)
        return True

    def drop(self, term: int, below: int) -> None:
        """Delete the copies of `term` with numbers less than `below`, once flushed.

        A delayed call must not delete the marker of a later outage. Markers are
        numbered like records, so that marker's number is never less than `below`.
        """
        copies = self._copies.get(term, {})
        for number in [number for number in copies if number < below]:
            del copies[number]
        if not copies:
            self._copies.pop(term, None)

    def fence(self, term: int) -> list[Record] | None:
        """Reject `term` from now on; return its records, or None if it sent nothing."""
        self._fenced_term = max(self._fenced_term, term)
        copies = self._copies.get(term)
        if copies is None:
            return None
        return [record for _, record in sorted(copies.items()) if record is not None]


__all__ = ["Replica"]
