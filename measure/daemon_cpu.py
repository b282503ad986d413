"""Measure the CPU time per task of a real daemon over loopback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

CONNECTIONS = (8, 64, 200, 500)
JOBS = 4
TASKS = 1_000
RUN_MS = 20
SLOTS = 8
PLATFORM_PORT, PEER_PORT, CALLER_PORT = 17_000, 17_001, 17_002
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_SETTINGS = """
[entry]
data_centre = utrecht-a
host = entry-{number}
data_centres = utrecht-a
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
[platform]
address = 127.0.0.1:{platform}
[service:verlofdienst]
repeatable = no
"""


def entry_settings(number: int, callers: int, peers: int, platform: int) -> str:
    """Return the settings file of the entry host with the given number."""
    return _SETTINGS.format(
        number=number, callers=callers, peers=peers, platform=platform
    )


@dataclass(frozen=True)
class CpuRow:
    """Hold the daemon's costs at one number of connections to minions."""

    connections: int
    tasks: int
    cpu_ms_per_task: float
    tasks_per_second: float
    memory_mb: float


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that process `pid` has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of process `pid`, in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@contextmanager
def running(*command: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run a process for as long as the context lasts."""
    process = subprocess.Popen(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def post(path: str, body: bytes, key: str) -> dict:
    """Submit a job to the daemon and return its answer."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{CALLER_PORT}{path}",
        data=body,
        headers={"X-Brasstray-Caller": "measure", "Idempotency-Key": key},
    )
    with urllib.request.urlopen(request, timeout=120) as reply:
        return json.load(reply)


def _wait_for_credits(slots: int) -> None:
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            url = f"http://127.0.0.1:{CALLER_PORT}/v1/status"
            with urllib.request.urlopen(url, timeout=5) as reply:
                page = json.load(reply)
            credits = sum(minion["credits"] for minion in page["minions"])
            if credits >= slots and page["journal"]["leader"]:
                return
        except OSError:
            pass
        time.sleep(0.2)
    raise TimeoutError("the daemon was not ready after 20 s")


def measure(connections: int) -> CpuRow:
    """Return the daemon's costs with `connections` concurrent tasks."""
    python, daemon = sys.executable, str(Path(sys.executable).parent / "brasstrayd")
    minions = max(1, connections // SLOTS)
    expires = datetime.now(UTC) + timedelta(hours=1)
    task = {"payload": {"run_ms": RUN_MS}}
    job = {"service": "verlofdienst", "period": "p", "tasks": [task] * TASKS}
    body = json.dumps(job).encode()
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as settings:
        settings.write(entry_settings(0, CALLER_PORT, PEER_PORT, PLATFORM_PORT))
        settings.flush()
        stand_ins = (
            *("-m", "brasstray_standins", "--platform", str(PLATFORM_PORT)),
            *("--minions", str(minions), "--entry", str(PEER_PORT)),
        )
        with (
            running(python, *stand_ins),
            running(daemon, "--settings", settings.name) as process,
        ):
            _wait_for_credits(minions * SLOTS)
            before, started_at = cpu_seconds(process.pid), time.monotonic()
            for number in range(JOBS):
                key = f"own~{expires:%Y%m%dT%H%M%SZ}~utrecht-a~job-{number}"
                answer = post("/v1/jobs", body, key)
                assert answer["outcome"] == "complete", answer
            used = cpu_seconds(process.pid) - before
            seconds = time.monotonic() - started_at
            tasks = JOBS * TASKS
            return CpuRow(
                minions * SLOTS,
                tasks,
                used / tasks * 1_000,
                tasks / seconds,
                memory_mb(process.pid),
            )


def run(seed: int) -> list[CpuRow]:
    """Return one row for each number of connections; `seed` is not used."""
    del seed
    return [measure(connections) for connections in CONNECTIONS]


__all__ = ["CpuRow", "cpu_seconds", "entry_settings", "memory_mb", "run", "running"]
