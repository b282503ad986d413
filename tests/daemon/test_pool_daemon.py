"""Test a host process on real sockets and with real signals, without a platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS = 30
SETTINGS = """
[host]
name = {name}
data_centre = utrecht-a
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}

[store]
address = 127.0.0.1:{store}

[minions]
lease_ms = 1000
stop_ms = 50
remote_factor = 1.5

[stop]
grace_seconds = {grace}
"""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class HostProcess:
    def __init__(self, path, text):
        self.path = path / "settings.ini"
        self.path.write_text(text)
        self._process = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "entry_host.py")],
            env={**os.environ, "BRASSTRAY_SETTINGS": str(self.path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=path,
        )

    def send(self, number):
        self._process.send_signal(number)

    def wait_for_event(self, kind):
        for line in self._process.stdout:
            message = json.loads(line)
            if message["message_type"] == kind:
                return message
        raise AssertionError(f"ended without {kind}")

    def wait(self):
        return self._process.wait(TIMEOUT_SECONDS)

    def errors(self):
        return self._process.stderr.read().decode()

    def end(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()
        self._process.stderr.close()


@pytest.fixture
def start(tmp_path):
    started = []

    def run(**changes):
        names = ("callers", "ready", "peers", "metrics", "store")
        values = dict(zip(names, free_ports(5), strict=True)) | {"grace": 2} | changes
        process = HostProcess(tmp_path, SETTINGS.format(name="edge-1", **values))
        process.values = values
        started.append(process)
        return process

    yield run
    for process in started:
        process.end()


def get(port, path):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as connection:
                request = f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                connection.sendall(request.encode())
                data = b""
                while part := connection.recv(65_536):
                    data += part
                return int(data.split()[1]), data
        except ConnectionRefusedError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def test_without_a_store_a_host_rejects_jobs_and_is_not_ready(start):
    process = start()
    status, data = get(process.values["callers"], "/any/0123456789abcdef")
    assert status == 503
    assert b"retry-after: 1" in data.lower()
    assert get(process.values["ready"], "/-/ready")[0] == 503


def test_metrics_are_served_as_text(start):
    process = start()
    get(process.values["callers"], "/any/0123456789abcdef")
    status, data = get(process.values["metrics"], "/metrics")
    assert status == 200
    assert b'brasstray_pool{of="owned"} 0' in data
    assert b"# TYPE brasstray_reasons_total counter" in data


def test_the_settings_are_reloaded_at_a_signal(start):
    # An operator changes the settings and sends SIGHUP, which terminates a process that
    # has no handler for it. Invalid settings must change nothing.
    process = start()
    process.wait_for_event("brasstray:started")
    text = process.path.read_text()
    process.path.write_text(text.replace("grace_seconds = 2", "grace_seconds = none"))
    process.send(signal.SIGHUP)
    refused = process.wait_for_event("brasstray:settings_refused")
    assert "grace_seconds" in refused["problems"][0]
    process.path.write_text(text.replace("grace_seconds = 2", "grace_seconds = 3"))
    process.send(signal.SIGHUP)
    assert process.wait_for_event("brasstray:settings_reloaded")["grace_seconds"] == 3
    process.send(signal.SIGTERM)
    process.wait_for_event("brasstray:stopped")
    assert process.wait() == 0


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"callers": "nonsense"}, "[host] callers"),
        ({"grace": "0"}, "[stop] grace_seconds"),
        ({"store": 99_999}, "[store] address"),
    ],
)
def test_invalid_settings_end_the_process_and_name_the_field(start, changes, told):
    process = start(**changes)
    assert process.wait() == 2
    assert told in process.errors()
