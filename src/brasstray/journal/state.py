"""Compute the state that results from a journal's records."""

from __future__ import annotations

import hashlib
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from brasstray.journal.key_entry import KeyEntry
from brasstray.journal.records import (
    IncarnationFenced,
    JobAnswered,
    KeyBound,
    KeysInDoubt,
    RecoveryCompleted,
    TermReleased,
    TermStarted,
)

if TYPE_CHECKING:
    from brasstray.job.ids import IncarnationId
    from brasstray.job.job_id import JobId
    from brasstray.journal.records import Record
    from brasstray.journal.segment import Segment

HASH_BYTES = 16
_LONG_AGO = datetime(2000, 1, 1, tzinfo=UTC)


class JournalState:
    """Apply records in order; the first binding and the first answer of a key win."""

    def __init__(self) -> None:
        self._keys: dict[bytes, KeyEntry] = {}
        self._interned: dict[IncarnationId, IncarnationId] = {}
        self._fenced: set[IncarnationId] = set()
        self._term: TermStarted | None = None
        self._unrecovered_terms: dict[int, TermStarted] = {}
        self._horizon = _LONG_AGO
        self._accept_until = _LONG_AGO
        self._in_doubt_until = _LONG_AGO

    @property
    def term(self) -> TermStarted | None:
        """Return the start record of the latest term."""
        return self._term

    @property
    def unrecovered_terms(self) -> list[TermStarted]:
        """Return the terms whose replicas may hold records missing from the journal."""
        return list(self._unrecovered_terms.values())

    @property
    def horizon(self) -> datetime:
        """Return the expiry up to which keys are removed and rejected."""
        return self._horizon

    @property
    def accept_until(self) -> datetime:
        """Return the latest expiry of any key that may have been bound so far."""
        return self._accept_until

    @property
    def in_doubt_until(self) -> datetime:
        """Return the expiry up to which keys without a record are in doubt."""
        return self._in_doubt_until

    @property
    def fenced(self) -> frozenset[IncarnationId]:
        """Return the fenced incarnations."""
        return frozenset(self._fenced)

    def __len__(self) -> int:
        return len(self._keys)

    def binding_of(self, job: JobId) -> KeyBound | None:
        """Return the binding of `job`, if it has one."""
        entry = self._keys.get(_hash_job(job))
        if entry is None or entry.executor is None or entry.digest is None:
            return None
        return KeyBound(
            job=job,
            digest=entry.digest.hex(),
            executor=entry.executor,
            task_count=entry.task_count,
            expires=datetime.fromtimestamp(entry.expires, UTC),
        )

    def answer_of(self, job: JobId) -> JobAnswered | None:
        """Return the recorded answer to `job`, if there is one."""
        entry = self._keys.get(_hash_job(job))
        if entry is None or entry.outcome is None or entry.answer_digest is None:
            return None
        assert entry.answered_by is not None
        return JobAnswered(
            job=job,
            executor=entry.answered_by,
            outcome=entry.outcome,
            digest=entry.answer_digest.hex(),
            expires=datetime.fromtimestamp(entry.expires, UTC),
        )

    def is_fenced(self, incarnation: IncarnationId) -> bool:
        """Return whether `incarnation` has lost the right to commit answers."""
        return incarnation in self._fenced

    def apply_segment(self, segment: Segment) -> None:
        """Apply a segment's expiry limits and records."""
        self._horizon = max(self._horizon, segment.horizon)
        self._accept_until = max(self._accept_until, segment.accept_until)
        for record in segment.records:
            self.apply(record)

    def apply(self, record: Record) -> None:
        """Apply one record."""
        match record:
            case KeyBound():
                self._apply_binding(record)
            case JobAnswered() if record.executor not in self._fenced:
                self._apply_answer(record)
            case IncarnationFenced():
                self._fenced.add(record.incarnation)
            case TermStarted():
                self._term = record
                self._unrecovered_terms[record.term] = record
            case TermReleased():
                self._unrecovered_terms.pop(record.term, None)
            case RecoveryCompleted():
                for term in [
                    term for term in self._unrecovered_terms if term < record.term
                ]:
                    del self._unrecovered_terms[term]
            case KeysInDoubt():
                self._in_doubt_until = max(self._in_doubt_until, record.until)

    def forget(self, until: datetime) -> None:
        """Remove keys that expire by `until` and reject them from now on."""
        self._horizon = max(self._horizon, until)
        limit = until.timestamp()
        self._keys = {k: v for k, v in self._keys.items() if v.expires > limit}

    def _get_or_add_entry(self, job: JobId, expires: datetime) -> KeyEntry:
        job_hash = _hash_job(job)
        entry = self._keys.get(job_hash)
        if entry is None:
            entry = self._keys[job_hash] = KeyEntry(int(expires.timestamp()))
        return entry

    def _intern(self, incarnation: IncarnationId) -> IncarnationId:
        return self._interned.setdefault(incarnation, incarnation)

    def _apply_binding(self, record: KeyBound) -> None:
        entry = self._get_or_add_entry(record.job, record.expires)
        if entry.executor is None:
            entry.executor = self._intern(record.executor)
            entry.digest = bytes.fromhex(record.digest)
            entry.task_count = record.task_count

    def _apply_answer(self, record: JobAnswered) -> None:
        entry = self._get_or_add_entry(record.job, record.expires)
        if entry.outcome is None:
            entry.answered_by = self._intern(record.executor)
            entry.outcome = record.outcome
            entry.answer_digest = bytes.fromhex(record.digest)


def _hash_job(job: JobId) -> bytes:
    # Hashes caller and key to 16 bytes to save memory. A collision of 128-bit hashes is
    # not expected in the lifetime of the system.
    text = f"{job.caller}\0{job.key}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()


__all__ = ["JournalState"]
