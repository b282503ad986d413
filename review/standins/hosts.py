"""Start hosts with the command and the settings template of the deploy file."""

from __future__ import annotations

import asyncio
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from standins.http import BrokenError, call

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20


def free_ports(count):
    """Return ports on the loopback address that are free now.

    They are below the range of the ports that outgoing connections take, as a host that
    starts again needs the same ones.
    """
    found = []
    while len(found) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def render(template, values, zones):
    """Fill the placeholders of the settings template."""
    text = re.sub(r"\{\{#Zones\}\}.*?\{\{/Zones\}\}", ",".join(zones), template)
    text = text.replace("{{Ip}}:{{PortRange.0}}", values["Peers"])
    text = text.replace("{{Ip}}:19464", values["Metrics"])
    text = re.sub(r"\{\{([A-Za-z.]+)\}\}", lambda match: str(values[match[1]]), text)
    assert "{{" not in text, text
    return text


class Host:
    """Run one host as a process.

    Its log goes to a file, or with `piped` through a pipe to a process that reads it.
    """

    def __init__(self, folder, name, zone, zones, store_port, *, piped=False):
        self.name, self.zone = name, zone
        self.callers, self.ready, peers, metrics = free_ports(4)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry-host"]
        self._command = role["run"]
        values = {
            "NodeName": name,
            "Zone": zone,
            "Listen.Front": f"127.0.0.1:{self.callers}",
            "Listen.Ready": f"127.0.0.1:{self.ready}",
            "Peers": f"127.0.0.1:{peers}",
            "Metrics": f"127.0.0.1:{metrics}",
            "platform.Address": f"127.0.0.1:{store_port}",
            "Limits.CpuShare": 0.537,
            "Limits.Cores": 2,
            "Bounds.HoldMaxMs": 1_000,
            "Bounds.StopMs": 50,
            "Bounds.RemoteFactor": 1.5,
            "Bounds.GraceS": 6,
        }
        self.settings = Path(folder) / f"{name}.ini"
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, values, zones))
        self.log = Path(folder) / f"{name}.log"
        self.errors = Path(folder) / f"{name}.err"
        self.reader = None
        self._output = self.log.open("a")
        if piped:
            self.reader = subprocess.Popen(
                ["cat"], stdin=subprocess.PIPE, stdout=self._output
            )
            self._output = self.reader.stdin
        self.start()

    def start(self):
        """Start the process, or start it again with the same settings."""
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BRASSTRAY_SETTINGS"] = str(self.settings)
        self.process = subprocess.Popen(
            shlex.split(self._command),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=self.errors.open("a"),
        )

    def last_error(self):
        """Return the last line that the process wrote to standard error."""
        lines = self.errors.read_text().splitlines()
        named = [line for line in lines if "Error" in line and "Group" not in line]
        return named[-1].strip(" |") if named else ""

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self):
        """Wait until the host accepts jobs; raise TimeoutError if it does not."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if (await call(self.ready, "GET", "/-/ready"))[0] == 200:
                        return
                except (BrokenError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    def end(self):
        """End the process, also one that is stopped."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        if self.reader is not None:
            self.reader.kill()
            self.reader.wait()
