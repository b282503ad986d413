"""Measure the CPU time and memory of idle daemons in one data centre."""

from __future__ import annotations

import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from measure.daemon_cpu import cpu_seconds, entry_settings, memory_mb, running

HOST_COUNTS = (2, 4, 8, 16)
MINIONS = 16
SETTLE_SECONDS = 10.0
SECONDS = 15.0
PLATFORM_PORT, PEER_PORT, CALLER_PORT = 18_000, 18_100, 18_200


@dataclass(frozen=True)
class IdleRow:
    """Hold the mean and maximum CPU share of a daemon, and the maximum memory."""

    daemons: int
    mean_cpu_percent: float
    most_cpu_percent: float
    memory_mb: float


def measure(hosts: int) -> IdleRow:
    """Return the costs of `hosts` idle daemons."""
    python, daemon = sys.executable, str(Path(sys.executable).parent / "brasstrayd")
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        entries = [
            part for n in range(hosts) for part in ("--entry", str(PEER_PORT + n))
        ]
        platform = ("--platform", str(PLATFORM_PORT), "--minions", str(MINIONS))
        stack.enter_context(
            running(python, "-m", "brasstray_standins", *platform, *entries)
        )
        daemons = []
        for number in range(hosts):
            path = Path(folder, f"{number}.ini")
            callers, peers = CALLER_PORT + number, PEER_PORT + number
            text = entry_settings(number, callers, peers, PLATFORM_PORT)
            path.write_text(text)
            process = stack.enter_context(running(daemon, "--settings", str(path)))
            daemons.append(process)
        time.sleep(SETTLE_SECONDS)
        pids = [process.pid for process in daemons]
        before = [cpu_seconds(pid) for pid in pids]
        time.sleep(SECONDS)
        if any(process.poll() is not None for process in daemons):
            raise RuntimeError(
                "a daemon has exited, possibly because its ports are in use"
            )
        used = [cpu_seconds(p) - b for p, b in zip(pids, before, strict=True)]
        return IdleRow(
            hosts,
            sum(used) / hosts / SECONDS * 100,
            max(used) / SECONDS * 100,
            max(memory_mb(pid) for pid in pids),
        )


def run(seed: int) -> list[IdleRow]:
    """Return one row for each number of daemons; `seed` is not used."""
    del seed
    return [measure(hosts) for hosts in HOST_COUNTS]


__all__ = ["IdleRow", "run"]
