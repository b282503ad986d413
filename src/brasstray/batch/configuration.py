"""Hold one version of the operators' configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import ConfigVersion
    from brasstray.batch.queue import Queue
    from brasstray.job.ids import ServiceName


@dataclass(frozen=True)
class BodyLimits:
    """Bound what callers send, in bytes."""

    body_bytes: int = 1 << 20


@dataclass(frozen=True)
class Configuration:
    """Hold the queues of one version, and the text it was read from.

    `services` are those that minions may be of, also without a queue.
    """

    version: ConfigVersion
    queues: tuple[Queue, ...]
    limits: BodyLimits = field(default_factory=BodyLimits)
    text: bytes = b""
    services: frozenset[ServiceName] = frozenset()

    def knows(self, service: ServiceName) -> bool:
        """Tell whether `service` is one of this version."""
        named = service in self.services
        return named or any(queue.service == service for queue in self.queues)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`, if any."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


__all__ = ["BodyLimits", "Configuration"]
