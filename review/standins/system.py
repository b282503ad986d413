"""Run a small system: the store, minions and hosts, and clients that send jobs."""

from __future__ import annotations

import asyncio
import json
import secrets
import shutil
import tempfile

from standins.hosts import Host
from standins.http import BrokenError, call
from standins.minion import Minion
from standins.record import Record
from standins.store import Store

QUEUE = {
    "Name": "r-1",
    "Host": "h.example",
    "Prefix": "/q/",
    "Type": "non_idempotent",
    "TimeoutMs": 1_500,
    "SloMs": 60,
    "Priority": 0,
    "Service": "s",
    "Attempts": 3,
    "Stretch": 1.6,
}
RESEND_S = 1.3


class System:
    """Hold the stand-ins and the hosts; end everything at the end of the block."""

    def __init__(
        self,
        folder,
        zones,
        hosts_per_zone,
        minions_per_zone,
        plan,
        *,
        piped=False,
        born=None,
    ):
        self.record = Record(folder)
        self.zones = zones
        self._hosts_per_zone = hosts_per_zone
        self._minions_per_zone = minions_per_zone
        self._plan = plan
        self._piped = piped
        self._born = born
        self.hosts = []
        self.minions = []

    async def __aenter__(self):
        self.folder = tempfile.mkdtemp(prefix="brasstray-review-")
        self.store = Store()
        config = {"Version": 1, "Routes": [QUEUE], "Services": [{"Name": "s"}]}
        self.store.put("op/config", json.dumps(config).encode())
        for zone in self.zones:
            for number in range(self._minions_per_zone):
                minion = Minion(self.store, self.record, number, zone, self._plan)
                minion.born = self._born
                self.minions.append(await minion.start())
        try:
            for zone in self.zones:
                for number in range(self._hosts_per_zone):
                    await self.start_host(f"edge-{zone}-{number}", zone)
            for host in self.hosts:
                await host.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start_host(self, name, zone):
        """Start a host."""
        port = await self.store.port_for(name)
        host = Host(self.folder, name, zone, self.zones, port, piped=self._piped)
        self.hosts.append(host)
        self.record.add("host_started", host=name)
        return host

    def restart_host(self, host):
        """Start a host that has ended again."""
        host.start()
        self.hosts.append(host)
        self.record.add("host_started", host=host.name)

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, host, body, job=None, deadline_ms=1_500):
        """Send a job once; record and return the status, or None without an answer."""
        job = job or secrets.token_hex(8)
        self.record.add("sent", job=job, host=host.name, deadline_ms=deadline_ms)
        status, answer = None, None
        try:
            status, answer = await call(
                host.callers, "POST", f"/q/{job}", body, deadline_ms
            )
        except TimeoutError:
            answer = "timeout"
        except BrokenError as error:
            answer = f"broken: {error}"
        self.record.add("answer", job=job, host=host.name, status=status, body=answer)
        return status


def job_body(count=4, cpu=6_800, est_ms=900, spec="x", **fields):
    """Return the body of a job of one step, as the sheet describes it."""
    step = {"Count": count, "Cpu": cpu, "MemMb": 64, "EstMs": est_ms, **fields}
    return {"Spec": spec, "Steps": [step], "BestEffort": True}


async def owner_of(system, zone):
    """Return the host that owns the pool of `zone`, by the store's entry."""
    from base64 import b64decode

    async with asyncio.timeout(20):
        while True:
            item = system.store.items.get(f"brasstray/pools/{zone}")
            if item is not None:
                name = json.loads(b64decode(item["Value"]))["host"]
                found = [h for h in system.hosts if h.name == name]
                if found:
                    return found[-1]
            await asyncio.sleep(0.05)
