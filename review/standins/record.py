"""Write what was sent, answered and run to record.txt."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Keep all events in memory and in a file, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._origin = time.monotonic()
        self.events = []

    @property
    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._origin

    def add(self, kind, **fields):
        """Record an event."""
        event = {"at": round(self.now, 4), "kind": kind, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()

    def of(self, kind):
        """Return the events of one kind."""
        return [event for event in self.events if event["kind"] == kind]
