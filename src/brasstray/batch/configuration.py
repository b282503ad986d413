"""Define a version of the configuration that operators publish."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import ConfigVersion
    from brasstray.batch.queue import Queue
    from brasstray.job.ids import ServiceName


@dataclass(frozen=True)
class BodyLimits:
    """Limit the size of request bodies, in bytes."""

    body_bytes: int = 1 << 20


@dataclass(frozen=True)
class Configuration:
    """Hold the queues of one version and the text that it was parsed from.

    `services` lists the services that minions may offer, including any without a queue.
    """

    version: ConfigVersion
    queues: tuple[Queue, ...]
    limits: BodyLimits = field(default_factory=BodyLimits)
    text: bytes = b""
    services: frozenset[ServiceName] = frozenset()

    def has_service(self, service: ServiceName) -> bool:
        """Tell whether this version lists `service` or has a queue for it."""
        named = service in self.services
        return named or any(queue.service == service for queue in self.queues)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` whose prefix is the longest match for `path`."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


__all__ = ["BodyLimits", "Configuration"]
