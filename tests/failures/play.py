"""Hold what a failure scenario does and what its caller hears."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.job.job_id import JobId
from brasstray_standins.memory_system import (
    CALLER,
    CallerDisconnectedError,
    MemorySystem,
    leave_job,
)

if TYPE_CHECKING:
    from brasstray.entry.entry_host import EntryHost
    from brasstray.job.answer import Answer
    from brasstray.job.request import JobRequest

PAUSE = timedelta(seconds=1)


@dataclass
class Play:
    """Let callers submit one job again and again, as worried callers do."""

    system: MemorySystem
    callers: anyio.abc.TaskGroup
    key: str
    request: JobRequest = field(default_factory=lambda: leave_job(1))
    told: list[Answer] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    struck: EntryHost | None = None
    drained: dict[str, int] = field(default_factory=dict)

    async def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        await anyio.sleep(seconds)

    def submit(self, host: EntryHost, centre: int = 0) -> None:
        """Have a caller submit at `host` and ask again until the answer is final."""
        self.callers.start_soon(self._submit, host, centre)

    async def _submit(self, host: EntryHost, centre: int) -> None:
        while True:
            try:
                answer = await self.system.submit(host, self.key, self.request)
                self.told.append(answer)
                if answer.outcome.final or answer.outcome.value.startswith("refused"):
                    return
            except CallerDisconnectedError as error:
                self.lost.append(str(error))
            await self.system.clock.sleep(PAUSE)
            host = self._any_other(host, centre)

    def _any_other(self, host: EntryHost, centre: int) -> EntryHost:
        wanted = self.system.data_centres[centre]
        hosts = [
            h for h in self.system.hosts.values() if h.config.data_centre == wanted
        ]
        return next((h for h in hosts if h is not host), hosts[0])

    @property
    def executor(self) -> EntryHost | None:
        """Return the host that runs the job, if it lives."""
        job = JobId(caller=CALLER, key=self.key)
        for host in self.system.hosts.values():
            if host.executions.get(job) is not None:
                return host
        return None

    @property
    def finals(self) -> list[Answer]:
        """Return the final answers that were told."""
        return [answer for answer in self.told if answer.outcome.final]


__all__ = ["Play"]
