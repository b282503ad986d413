"""Test real host processes against a stand-in store and stand-in minions."""

from __future__ import annotations

import json
import socket
import threading
import time
from datetime import timedelta

import anyio
import msgspec
import pytest
import uvicorn
from tests.daemon.test_pool_daemon import (
    SETTINGS,
    TIMEOUT_SECONDS,
    HostProcess,
    free_ports,
)
from typer.testing import CliRunner

from brasstray.batch.resources import Resources
from brasstray.clock.loop import LoopClock
from brasstray.command.main import app
from brasstray.host.host_status import HostStatus
from brasstray.job.ids import DataCentreName, MinionId, ServiceName
from brasstray.pool.minion_entry import MinionEntry
from brasstray_standins.kv_app import KvApp
from brasstray_standins.leased_minion import LeasedMinion, RunRecorder, Work, tick_all
from brasstray_standins.leased_minion_app import LeasedMinionApp
from brasstray_standins.memory_store import MemoryStore

GRACE_SECONDS = 2
ROUTE = {"Name": "r", "Host": "h", "Prefix": "/q/", "Service": "s", "Attempts": 2}
OBJECTIVE = {"SloMs": 500, "Stretch": 1.6}
CONFIG = {"Version": 1, "Routes": [ROUTE | OBJECTIVE]}
NEEDS = Resources(6_800, 64)


class Platform:
    """Run a stand-in store and stand-in minions in a separate thread."""

    def __init__(self, minion_count=2):
        self.ports = free_ports(1 + minion_count)
        self._ready = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=anyio.run, args=(self._run,))
        self._thread.start()
        assert self._ready.wait(TIMEOUT_SECONDS)

    async def _run(self):
        clock = LoopClock()
        store = MemoryStore(clock)
        self.recorder = RunRecorder(Work(NEEDS, timedelta(milliseconds=40)))
        minions = [self._create_minion(clock, port) for port in self.ports[1:]]
        store.put("op/config", json.dumps(CONFIG).encode())
        for minion in minions:
            store.put(f"servers/{minion.entry.id}", _encode_entry(minion.entry))
        apps = [KvApp(store), *map(LeasedMinionApp, minions)]
        async with anyio.create_task_group() as group:
            for app, port in zip(apps, self.ports, strict=True):
                settings = uvicorn.Config(app, port=port, log_level="error")
                server = uvicorn.Server(settings)
                server.capture_signals = _NoSignalHandlers
                group.start_soon(server.serve)
            tick = timedelta(milliseconds=2)
            group.start_soon(tick_all, lambda: minions, clock, tick)
            self._ready.set()
            while not self._stopped.is_set():
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    def _create_minion(self, clock, port):
        entry = MinionEntry(
            MinionId(f"i-{port}"),
            ServiceName("s"),
            DataCentreName("utrecht-a"),
            "127.0.0.1",
            port,
            Resources(16_000, 32_768),
            (),
            draining=False,
        )
        return LeasedMinion(entry, clock, self.recorder)

    def stop(self):
        self._stopped.set()
        self._thread.join(TIMEOUT_SECONDS)


class _NoSignalHandlers:
    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None


def _encode_entry(entry):
    body = {
        "Service": entry.service,
        "Address": f"{entry.host}:{entry.port}",
        "Zone": entry.data_centre,
        "Capacity": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0},
        "State": "ready",
    }
    return json.dumps(body).encode()


@pytest.fixture
def system(tmp_path):
    platform = Platform()
    processes = []
    for number in range(2):
        names = ("callers", "ready", "peers", "metrics")
        values = dict(zip(names, free_ports(4), strict=True))
        text = SETTINGS.format(
            name=f"edge-{number}",
            store=platform.ports[0],
            grace=GRACE_SECONDS,
            **values,
        )
        folder = tmp_path / str(number)
        folder.mkdir()
        process = HostProcess(folder, text)
        process.values = values
        processes.append(process)
    yield platform, processes
    for process in processes:
        process.end()
    platform.stop()


def call(port, method, path, body=None):
    content = json.dumps(body).encode() if body is not None else b""
    request = (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        f"Content-Length: {len(content)}\r\nX-Deadline: 5000\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", port), 10) as connection:
        connection.sendall(request.encode() + content)
        data = b""
        while part := connection.recv(65_536):
            data += part
    head, _, text = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(text or b"{}")


def wait_until_ready(processes):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    for process in processes:
        while True:
            try:
                if call(process.values["ready"], "GET", "/-/ready")[0] == 200:
                    break
            except ConnectionRefusedError:
                pass
            assert time.monotonic() < deadline
            time.sleep(0.05)


def test_two_hosts_serve_jobs_on_the_minions_of_their_data_centre(system):
    platform, processes = system
    wait_until_ready(processes)
    step = {"Count": 3, "Cpu": 6_800, "MemMb": 64, "EstMs": 40}
    job = {"Spec": "x", "Steps": [step], "BestEffort": True}
    for number in range(6):
        port = processes[number % 2].values["callers"]
        answer = call(port, "POST", f"/q/{number:016x}", job)
        assert answer == (200, {"State": "succeeded"})
    port = processes[0].values["callers"]
    assert call(port, "GET", "/q/") == (200, {"Pending": 0})
    assert call(port, "GET", f"/q/{1:016x}") == (410, {})
    assert call(port, "POST", "/none/" + "0" * 16, job)[0] == 404
    assert call(port, "POST", "/q/" + "0" * 16, {"Steps": []})[0] == 400
    assert call(port, "POST", "/q/" + "0" * 16, {"Steps": [step]})[0] == 503
    assert len(platform.recorder.starts) == 18
    assert platform.recorder.broken == []


def test_operators_see_who_owns_the_pool(system):
    _, processes = system
    wait_until_ready(processes)
    found = []
    for process in processes:
        url = f"http://127.0.0.1:{process.values['metrics']}"
        result = CliRunner().invoke(app, ["host", url, "--json"])
        assert result.exit_code == 0
        found.append(msgspec.json.decode(result.stdout, type=HostStatus))
    owners = [status for status in found if status.owned is not None]
    assert len(owners) == 1
    assert [minion.reach for minion in owners[0].owned.minions] == ["leased", "leased"]
    assert all(status.owners[0].host == owners[0].host for status in found)


def test_an_unreachable_host_is_an_error():
    (port,) = free_ports(1)
    result = CliRunner().invoke(app, ["host", f"http://127.0.0.1:{port}"])
    assert result.exit_code == 5
