"""Hold the state of a failure scenario and its callers' answers."""

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

RETRY_INTERVAL = timedelta(seconds=1)


@dataclass
class ScenarioContext:
    """Submit one job repeatedly and record the answers."""

    system: MemorySystem
    callers: anyio.abc.TaskGroup
    key: str
    request: JobRequest = field(default_factory=lambda: leave_job(1))
    answers: list[Answer] = field(default_factory=list)
    connection_losses: list[str] = field(default_factory=list)
    failed_host: EntryHost | None = None
    jobs_left: dict[str, int] = field(default_factory=dict)

    async def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        await anyio.sleep(seconds)

    def submit(self, host: EntryHost, centre: int = 0) -> None:
        """Submit at `host`, and retry until the answer is final or a refusal."""
        self.callers.start_soon(self._submit, host, centre)

    async def _submit(self, host: EntryHost, centre: int) -> None:
        while True:
            try:
                answer = await self.system.submit(host, self.key, self.request)
                self.answers.append(answer)
                if answer.outcome.final or answer.outcome.value.startswith("refused"):
                    return
            except CallerDisconnectedError as error:
                self.connection_losses.append(str(error))
            await self.system.clock.sleep(RETRY_INTERVAL)
            host = self._another_host(host, centre)

    def _another_host(self, host: EntryHost, centre: int) -> EntryHost:
        wanted = self.system.data_centres[centre]
        hosts = [
            h for h in self.system.hosts.values() if h.config.data_centre == wanted
        ]
        return next((h for h in hosts if h is not host), hosts[0])

    @property
    def executor(self) -> EntryHost | None:
        """Return the host that runs the job, or None if that host is gone."""
        job = JobId(caller=CALLER, key=self.key)
        for host in self.system.hosts.values():
            if host.executions.get(job) is not None:
                return host
        return None

    @property
    def final_answers(self) -> list[Answer]:
        """Return the final answers that callers received."""
        return [answer for answer in self.answers if answer.outcome.final]


__all__ = ["ScenarioContext"]
