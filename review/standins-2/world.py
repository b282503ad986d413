"""Stand-ins for the platform's store, its minions and its clients, and host processes.

Everything runs on loopback addresses and the real clock, in one process beside the
hosts, which are started with the commands of deploy/system.toml. Only the standard
library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1_000
STOP_S = 0.05
SERVICE = "verlofdienst"
HOST_HEADER = "nony24.example"
PREFIX = "/lohu930/"
# The bounds of the smaller deployment of Vakantiehuis, as its sheet gives them.
BOUNDS = {"HoldMaxMs": 1000, "StopMs": 50, "RemoteFactor": 1.5, "GraceS": 6}


class CouldNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Keep what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._zero

    def __call__(self, text: str) -> None:
        """Write a line."""
        if not self._file.closed:
            self._file.write(f"{self.now:8.3f}  {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file; later lines are dropped."""
        self._file.close()


def free_port(address: str) -> int:
    """Return a port of `address` that is free now."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


# --- HTTP -------------------------------------------------------------------------


async def _read_message(reader):
    """Return the first line, the headers and the body of a message, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serve `respond(method, target, headers, body)`, which returns a status and JSON.

    A status of None leaves the request without an answer.
    """

    def __init__(self, respond) -> None:
        self._respond = respond
        self._server = None

    async def start(self, address: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, address, port)

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await _read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                status, content = await self._respond(method, target, headers, body)
                if status is None:
                    await asyncio.sleep(3_600)
                text = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# --- The platform's store -----------------------------------------------------------


class Store:
    """Hold keys with revisions, and their history, as the platform's pages say."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return the revision."""
        self._revision += 1
        known = self._items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": known["Created"] if known else self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"Key": key, "Revision": self._revision, "Removed": True})

    def value(self, key: str) -> dict | None:
        """Return the decoded value of a key, None if there is none."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    def _note(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, method: str, target: str, body: bytes):
        """Answer one call as the platform's pages say."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        match method, parts.path:
            case "GET", "/-/kv-key":
                item = self._items.get(query["Key"])
                if item is None:
                    return 404, {"AsOf": self._revision}
                return 200, item | {"AsOf": self._revision}
            case "GET", "/-/kv-range":
                found = [
                    self._items[key]
                    for key in sorted(self._items)
                    if key.startswith(query["Prefix"]) and key > query.get("After", "")
                ]
                page = {"items": found[:500], "HasMore": len(found) > 500}
                return 200, page | {"AsOf": self._revision}
            case "GET", "/-/kv-watch":
                return 200, await self._watch(query)
            case "POST", "/-/kv-txn":
                return self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict) -> dict:
        deadline = time.monotonic() + int(query["WaitMs"]) / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["Revision"] > int(query["After"])
                and event["Key"].startswith(query["Prefix"])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "AsOf": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body: dict):
        expected = body.get("Expect", [])
        for row in expected:
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                items = [
                    self._items[r["Key"]] for r in expected if r["Key"] in self._items
                ]
                return 412, {"items": items}
        for key in body.get("Deletes", []):
            self.delete(key)
        for write in body.get("Writes", []):
            self.put(write["Key"], base64.b64decode(write["Value"]))
            self._record(f"store: {write['Key']} written, revision {self._revision}")
        return 200, {"Revision": self._revision}


class StoreDoor:
    """Serve the store on an address of its own, which may turn its callers away."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.busy = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port("127.0.0.1")
        await HttpServer(self._respond).start("127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def _respond(self, method, target, headers, body):
        if self.busy:
            return 503, {}
        answer = await self._store.respond(method, target, body)
        return (503, {}) if self.busy else answer


# --- Minions ------------------------------------------------------------------------


class Run:
    """Hold one run of a task."""

    def __init__(self, task: str, number: int, cpu: int, work_s: float) -> None:
        self.task, self.number, self.cpu, self.work_s = task, number, cpu, work_s
        self.began = time.monotonic()
        self.stopping = False
        self.checkpoint = ""


class Recorder:
    """Record every start and end of a run, and what is at work at the same time."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.needs: dict[str, int] = {}
        self.work: dict[str, float] = {}
        self.active: dict[str, list[str]] = {}
        self.starts: list[tuple[float, str, str]] = []
        self.ends: list[tuple[float, str, str, str]] = []
        self.at_once: list[str] = []
        self.over: list[tuple[float, str]] = []

    def started(self, run: Run, minion: str) -> None:
        """Record the start of a run, and whether its task runs elsewhere."""
        now = self._record.now
        self.starts.append((now, run.task, minion))
        self._record(f"{minion}: start of {run.task}, run {run.number}")
        others = self.active.setdefault(run.task, [])
        if others:
            text = f"{run.task} at work on {minion} and on {', '.join(others)}"
            self.at_once.append(text)
            self._record(f"TWO RUNS AT ONCE: {text}")
        others.append(minion)

    def ended(self, run: Run, minion: str, how: str) -> None:
        """Record how a run has ended."""
        self.ends.append((self._record.now, run.task, minion, how))
        self.active[run.task].remove(minion)
        self._record(f"{minion}: end of {run.task}, run {run.number}: {how}")


class Minion:
    """Run tasks under leases, fencing tokens and run numbers; guard no capacity."""

    def __init__(self, store, recorder, record, name, zone, cpu=16_000) -> None:
        self._store, self._recorder, self._record = store, recorder, record
        self.name, self.zone, self.cpu = name, zone, cpu
        self.state = "ready"
        self.alive = True
        self.sheds = 0
        self.address = ""
        self._seq = 0
        self._zero = time.monotonic() - 100
        self._token = 0
        self._until_ms = 0
        self.runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._end_count = 0
        self._run_ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the minion's own clock in milliseconds."""
        return int((time.monotonic() - self._zero) * 1_000)

    async def start(self) -> None:
        """Listen, register and begin to work."""
        port = free_port("127.0.0.1")
        await HttpServer(self._respond).start("127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"
        self.register()
        asyncio.create_task(self._tick())
        asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write the minion's entry to the store."""
        self._seq += 1
        entry = {
            "Service": SERVICE,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._seq,
            "Capacity": {"Cpu": self.cpu, "MemMb": 32_768, "Gpu": 0},
            "Labels": ["a", "r1"],
        }
        self._store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _beat(self) -> None:
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if run.stopping:
                    continue
                if now - run.began >= run.work_s:
                    self._end(run, "done")
                elif self.clock_ms >= self._until_ms:
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._recorder.ended(run, self.name, how)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, ""])
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def _extend(self, until_ms) -> None:
        if until_ms is not None:
            latest = self.clock_ms + HOLD_MAX_MS
            self._until_ms = max(self._until_ms, min(int(until_ms), latest))

    async def _respond(self, method, target, headers, text):
        if headers.get("x-target-instance") != self.name:
            return 421, {}
        body = json.loads(text or b"{}")
        token = body.get("FencingToken", 0)
        if token < self._token:
            self._record(
                f"{self.name}: {target} refused, fence {token} < {self._token}"
            )
            return 409, {"ClockMs": self.clock_ms, "Reason": "fence"}
        self._token = token
        match target:
            case "/-/hold":
                return 200, await self._hold(body)
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
        return 404, {}

    async def _hold(self, body: dict) -> dict:
        self._extend(body.get("UntilMs"))
        self._ends = [end for end in self._ends if end[0] > body.get("LastSeen", 0)]
        wait = body.get("WaitMs", 0) / 1_000
        if wait and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._run_ended.wait(), wait)
        now = time.monotonic()
        running = [
            [
                r.task,
                r.number,
                "",
                min(99, int(100 * (now - r.began) / r.work_s)),
                r.cpu,
            ]
            for r in self.runs.values()
            if not r.stopping
        ]
        return {
            "ClockMs": self.clock_ms,
            "Running": running,
            "Finished": self._ends[:500],
        }

    def _start(self, body: dict):
        task, number = body["Task"], body["Run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {"ClockMs": self.clock_ms}
        if self.sheds:
            self.sheds -= 1
            self._record(
                f"{self.name}: start of {task}, run {number}, answered with 503"
            )
            return 503, {}
        self._extend(body["UntilMs"])
        if number <= self._highest.get(task, 0):
            return 409, {"ClockMs": self.clock_ms, "Reason": "old"}
        if self.clock_ms >= body["UntilMs"]:
            return 409, {"ClockMs": self.clock_ms, "Reason": "late"}
        self._highest[task] = number
        job, _, step, _ = task.split(".")
        key = f"{job}.{step}"
        run = Run(
            task,
            number,
            self._recorder.needs.get(key, 100),
            self._recorder.work.get(key, 0.1),
        )
        self.runs[task] = run
        self._recorder.started(run, self.name)
        used = sum(each.cpu for each in self.runs.values())
        if used > self.cpu:
            text = f"{self.name}: {used} in use, capacity {self.cpu}"
            self._recorder.over.append((self._record.now, text))
            self._record(f"OVER ITS CAPACITY: {text}")
        return 200, {"ClockMs": self.clock_ms}

    def _stop(self, body: dict):
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S * 0.9, self._end, run, "stopped"
            )
        return 200, {"ClockMs": self.clock_ms}


# --- Clients ------------------------------------------------------------------------


class Client:
    """Send requests, each on a connection of its own, and give up at the deadline."""

    def __init__(self, record: Record, recorder: Recorder) -> None:
        self._record, self._recorder = record, recorder

    async def call(self, host, method, path, body=None, deadline_ms=1_500):
        """Return the status and the decoded answer, or None if there was none."""
        address, port = host.front.rsplit(":", 1)
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
            f"X-Deadline: {deadline_ms}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self._record(f"client: {method} {path} to {host.name}")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1_000):
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(head.encode() + content)
                message = await _read_message(reader)
        except (TimeoutError, OSError) as error:
            message, why = None, repr(error)
        else:
            why = "the connection was closed"
        finally:
            if writer is not None:
                writer.close()
        if message is None:
            self._record(f"client: {method} {path} to {host.name}: no answer ({why})")
            return None
        status = int(message[0].split()[1])
        answer = json.loads(message[2] or b"{}")
        self._record(f"client: {method} {path} to {host.name}: {status} {answer}")
        return status, answer

    def describe(self, job: str, step: int, cpu: int, work_s: float) -> None:
        """Tell the minions what a task of a job needs and how long it works."""
        self._recorder.needs[f"{job}.{step}"] = cpu
        self._recorder.work[f"{job}.{step}"] = work_s

    async def submit(self, host, job, cpu, work_s, est_s, count=1, deadline_ms=1_500):
        """Submit a job of one step that is answered at its end."""
        self.describe(job, 0, cpu, work_s)
        step = {"Count": count, "Cpu": cpu, "MemMb": 64, "EstMs": int(est_s * 1_000)}
        body = {"Spec": "x", "Steps": [step], "BestEffort": True}
        return await self.call(host, "POST", PREFIX + job, body, deadline_ms)


# --- Hosts --------------------------------------------------------------------------


def _lookup(fields, name):
    for part in name.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields.get(part, "")
    return fields


def render(template: str, fields: dict) -> str:
    """Fill in a template of the settings as the page on deployment describes."""

    def section(match):
        """Return the text of a section, once for each entry."""
        entries = _lookup(fields, match[1])
        keys = list(entries)
        parts = []
        for key in keys:
            text = match[2].replace("{{@}}", str(key))
            parts.append(text.replace("{{,}}", "," if key != keys[-1] else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(_lookup(fields, m[1])), text)


class Host:
    """Start, signal and end one host process, as the deploy file says."""

    def __init__(self, world, name, zone, ip, store: StoreDoor) -> None:
        self._world = world
        self.name, self.zone, self.ip = name, zone, ip
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = role["entry-host"]
        self.front = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        self._peers = free_port(ip)
        self._store = store
        self._folder = Path(tempfile.mkdtemp(dir=world.folder))
        self.log = self._folder / "log"
        self.process: subprocess.Popen | None = None
        self.own_ends = 0

    def start(self, stdout=None) -> None:
        """Start the process."""
        fields = {
            "NodeName": self.name,
            "Zone": self.zone,
            "Zones": dict.fromkeys(self._world.zones, "nl-midden"),
            "Ip": self.ip,
            "Listen": {"Front": self.front, "Ready": self.ready_address},
            "PortRange": [self._peers, self._peers],
            "platform": {"Address": self._store.address},
            "Limits": {"CpuShare": 0.537, "Cores": 2},
            "Bounds": BOUNDS,
        }
        template = (ROOT / self._role["template"]).read_text()
        settings = self._folder / "settings.ini"
        settings.write_text(render(template, fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BRASSTRAY_SETTINGS"] = str(settings)
        if stdout is None:
            stdout = self.log.open("ab")
        self.process = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=stdout,
            stderr=subprocess.STDOUT,
        )
        self._world.processes.append(self.process)
        self._world.record(f"{self.name}: process started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._world.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self, deadline_s=1.0) -> bool:
        """Return whether the platform's readiness check succeeds."""
        address, port = self.ready_address.rsplit(":", 1)
        writer = None
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                message = await _read_message(reader)
        except (TimeoutError, OSError):
            return False
        finally:
            if writer is not None:
                writer.close()
        return message is not None and message[0].split()[1] == "200"

    async def keep_running(self, delay_s=1.0) -> None:
        """Start the process again after each end of its own, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            status = self.process.poll()
            if status is None:
                continue
            self.own_ends += 1
            self._world.record(f"{self.name}: PROCESS ENDED BY ITSELF, status {status}")
            await asyncio.sleep(delay_s)
            self.start()

    def logged(self, kind: str) -> list[dict]:
        """Return the log lines of one kind."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if kind in line:
                found.append(json.loads(line))
        return found


class World:
    """Hold the stand-ins and the processes of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record = Record(folder / "record.txt")
        self.recorder = Recorder(self.record)
        self.store = Store(self.record)
        self.client = Client(self.record, self.recorder)
        self.processes: list[subprocess.Popen] = []
        self.hosts: list[Host] = []
        self.zones: list[str] = []
        self.minions: list[Minion] = []

    def configure(self, version=1, **changes) -> None:
        """Write the operator's configuration, with one route."""
        route = {
            "Name": "verlof-aanvraag",
            "Host": HOST_HEADER,
            "Prefix": PREFIX,
            "Service": SERVICE,
            "Priority": 0,
            "Attempts": 3,
            "Stretch": 1.6,
            "SloMs": 60,
        }
        config = {
            "Version": version,
            "Routes": [route | changes],
            "Services": [{"Name": SERVICE, "RejectsOverload": False}],
            "Limits": {"MaxBodyBytes": 262_144},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record(f"operator: configuration {version}")

    async def add_host(self, name, zone, ip, start=True, stdout=None) -> Host:
        """Add a host with an address of the store of its own."""
        door = StoreDoor(self.store)
        await door.start()
        host = Host(self, name, zone, ip, door)
        host.door = door
        self.hosts.append(host)
        if start:
            host.start(stdout)
        return host

    async def add_minion(self, name, zone, cpu=16_000) -> Minion:
        """Add a minion and register it."""
        minion = Minion(self.store, self.recorder, self.record, name, zone, cpu)
        self.minions.append(minion)
        await minion.start()
        return minion

    async def until(self, condition, seconds, what) -> None:
        """Wait for a condition of the set-up; without it the case cannot run."""
        deadline = time.monotonic() + seconds
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            if time.monotonic() > deadline:
                raise CouldNotRunError(f"not in time: {what}")
            await asyncio.sleep(0.02)

    async def all_ready(self, seconds=20) -> None:
        """Wait until every host is ready."""
        for host in self.hosts:
            if host.process is not None:
                await self.until(host.is_ready, seconds, f"{host.name} is ready")

    def owner_of(self, zone: str) -> str | None:
        """Return the name of the host that the store lists as the owner of a pool."""
        owner = self.store.value(f"brasstray/pools/{zone}")
        return owner["host"] if owner else None

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder) -> None:
    """Run `case(world)`, which returns whether the rule was broken, and exit."""

    async def main() -> int:
        """Set up the world, run the case and return the exit status."""
        world = World(Path(folder))
        world.record(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await case(world)
            status = 1 if broken else 0
            world.record("RULE BROKEN" if broken else "the rule held")
        except (CouldNotRunError, TimeoutError) as error:
            world.record(f"could not run: {error!r}")
            status = 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for host in world.hosts:
                    if host.log.exists():
                        shutil.copy(host.log, Path(keep) / f"{host.name}.log")
            world.end()
            world.record.close()
        return status

    try:
        status = asyncio.run(main())
    except Exception as error:  # noqa: BLE001 - nothing is shown by a broken case
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.stdout.flush()
    os._exit(status)
