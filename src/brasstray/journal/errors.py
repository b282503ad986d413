"""Define the journal's exceptions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId


class JournalError(Exception):
    """Base class of the journal's exceptions."""


class DeposedError(JournalError):
    """The leader's term has ended."""


class NewerTermError(JournalError):
    """The journal already contains a later term than the one to be replaced."""

    def __init__(self, term: int, leader: IncarnationId) -> None:
        super().__init__(f"{leader} already leads term {term}")
        self._term = term
        self._leader = leader

    @property
    def term(self) -> int:
        """Return the later term."""
        return self._term

    @property
    def leader(self) -> IncarnationId:
        """Return the leader of the later term."""
        return self._leader


class CommitUnavailableError(JournalError):
    """The record was not confirmed in time; it may still be committed later."""


class JournalUnavailableError(JournalError):
    """The journal could not be read or written; a write may have taken effect."""


class ReplicaUnreachableError(JournalError):
    """A replica did not reply; it may or may not have stored the copies."""


class JournalInDoubtError(JournalError):
    """The key may have been bound by an earlier leader whose records are lost."""


class KeyForgottenError(JournalError):
    """The key has expired and its journal records have been removed."""


__all__ = [
    "CommitUnavailableError",
    "DeposedError",
    "JournalError",
    "JournalInDoubtError",
    "JournalUnavailableError",
    "KeyForgottenError",
    "NewerTermError",
    "ReplicaUnreachableError",
]
