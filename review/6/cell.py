"""Stand-ins of the platform's store, its workers and its clients on loopback addresses.

They follow PROTOCOL.md and use the standard library only. The daemons are started
with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, unquote, urlsplit

HOST = "127.0.0.1"
#: The bounds of the two small deployments of SYSTEM.md that the stand-ins apply.
HOLD_MAX_MS = 6_000
STOP_MS = 200
GANG_TIMEOUT_MS = 3_000
FINISH_S = 14
BEAT_S = 1.5
STORE_DELAY_S = 0.004
BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 6,
    "hold_max_ms": HOLD_MAX_MS,
    "status_s": 120,
}
#: A handler returns this to leave a call unanswered for good.
SILENT = object()
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
ROOT = pathlib.Path(__file__).resolve().parents[2]
if not (ROOT / "deploy").is_dir():
    ROOT = pathlib.Path.cwd()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.rows = []

    def ms(self):
        return round((time.monotonic() - self._began) * 1000)

    def __call__(self, kind, **fields):
        row = {"ms": self.ms(), "kind": kind, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class HttpServer:
    """Serves ``handler(method, path, query, headers, body)`` on a free port."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.port = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                answer = await self._handler(
                    method, unquote(parts.path), query, headers, body
                )
                if answer is SILENT:
                    await reader.read()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                reason = REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: items, revisions, watches and leases."""

    def __init__(self):
        self.rev = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.rev += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._wake()

    def put_json(self, key, content):
        self.put(key, json.dumps(content).encode())

    def delete(self, key):
        if key in self.items:
            self.rev += 1
            self._delete(key)
            self._wake()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _put(self, key, text, lease):
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {
            "key": key,
            "value": text,
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((self.rev, key, item))

    def _delete(self, key):
        del self.items[key]
        event = {"key": key, "rev": self.rev, "deleted": True}
        self.history.append((self.rev, key, event))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._delete(key)
            self._wake()
        return True

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_DELAY_S)
        content = json.loads(body) if body else {}
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item)
        if path == "/v1/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return 200, await self._watch(query["prefix"], int(query["after"]), wait_s)
        if path == "/v1/kv-txn":
            return self._transaction(content)
        if path == "/v1/kv-lease":
            ttl_ms = max(1000, content["ttl_ms"])
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            ended = self.end_lease(int(path.rpartition("/")[2]))
            return (200, {}) if ended else (404, {})
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:500]]
        return {"items": page, "current_rev": self.rev, "has_more": len(keys) > 500}

    async def _watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [
                event
                for rev, key, event in self.history
                if rev > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current_rev": self.rev}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transaction(self, content):
        expected = content.get("expected_rev", [])
        puts, removed = content.get("set_keys", []), content.get("remove", [])
        if len(expected) + len(puts) + len(removed) > 32:
            return 400, {}
        written = [*(put["key"] for put in puts), *removed]
        if any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                current = [
                    self.items.get(r["key"]) or {"key": r["key"], "rev": 0}
                    for r in expected
                ]
                return 412, {"items": current}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.rev += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease") or 0)
        for key in removed:
            if key in self.items:
                self._delete(key)
        self._wake()
        return 200, {"rev": self.rev}


class WorkerRun:
    """One run of a task; the job's spec says how long it takes and how it ends."""

    def __init__(self, worker, task, number, spec):
        self.worker = worker
        self.task = task
        self.number = number
        self.ms = spec.get("ms", 500)
        self.fails = spec.get("fails", False)
        self.lasts = spec.get("lasts", False)
        self.gang = spec.get("gang", 0)
        self.began = time.monotonic()
        self.working_since = None if self.gang else self.began
        self.timer = None

    def percent(self):
        if self.working_since is None:
            return 0
        worked = (time.monotonic() - self.working_since) * 1000
        if self.lasts:
            return 100 if worked >= 200 else 0
        return min(99, int(worked * 100 / max(1, self.ms)))

    @property
    def gang_key(self):
        return self.task.rpartition(".")[0], self.number


class Worker:
    """One worker, whose tasks work under a lease."""

    gangs = {}

    def __init__(self, store, record, name, service, capacity, rack="r1-1"):
        self._store = store
        self._record = record
        self.id = name
        self.service = service
        self.capacity = capacity
        self.rack = rack
        self.state = "ready"
        self.server = HttpServer(self.handle)
        #: Whether it has ended for good.
        self.gone = False
        self._seq = 0
        self._begin_life()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self._steady = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.floor = {}
        self.finished = []
        self._ends = 0
        self._ended = asyncio.Event()

    async def start(self):
        await self.server.start()
        self.beat()

    def clock_ms(self):
        return int((time.monotonic() - self._steady) * 1000)

    def beat(self):
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.server.port}",
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "born": self.born,
        }
        self._store.put_json(f"servers/{self.id}", entry)

    async def run(self):
        beat_at = time.monotonic()
        while not self.gone:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.deadline_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            for run in list(self.runs.values()):
                is_waiting = run.gang and run.working_since is None
                waited_ms = (time.monotonic() - run.began) * 1000
                if is_waiting and waited_ms > GANG_TIMEOUT_MS:
                    self._end(run, "alone")
            if time.monotonic() - beat_at >= BEAT_S:
                beat_at = time.monotonic()
                self.beat()

    async def handle(self, method, path, query, headers, body):
        if headers.get("savorylead-target-instance", self.id) != self.id:
            return 421, {}
        content = json.loads(body)
        fence = content.get("fencing_token", 0)
        if fence < self.fence:
            return self._conflict("fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self._start(content)
        if path == "/v1/run-stop":
            return self._stop(content)
        if path == "/v1/hold":
            return await self._hold(content)
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _conflict(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _extend(self, deadline_ms):
        latest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest))

    def _start(self, content):
        task, number = content["task"], content["run"]
        if content["deadline_ms"] < self.clock_ms():
            return self._conflict("late")
        self._extend(content["deadline_ms"])
        if (task, number) in self.runs:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.floor.get(task, 0):
            return self._conflict("old")
        run = WorkerRun(self, task, number, json.loads(content["spec"]))
        self.runs[task, number] = run
        self._record("start", worker=self.id, task=task, run=number, fence=self.fence)
        if run.gang:
            members = Worker.gangs.setdefault(run.gang_key, [])
            members.append(run)
            if len(members) == run.gang:
                for member in members:
                    member.working_since = time.monotonic()
                run.timer = self._later(run.ms, self._gang_done, members)
        elif not run.lasts or run.fails:
            how = "failed" if run.fails else "done"
            run.timer = self._later(run.ms, self._end, run, how)
        return 200, {"clock_ms": self.clock_ms()}

    def _later(self, ms, func, *args):
        return asyncio.get_running_loop().call_later(ms / 1000, func, *args)

    def _gang_done(self, members):
        if all((m.task, m.number) in m.worker.runs for m in members):
            for member in list(members):
                member.worker._end(member, "done")

    def _end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._ends += 1
        self.floor[run.task] = max(self.floor.get(run.task, 0), run.number)
        self.finished.append([self._ends, run.task, run.number, how, ""])
        self._record("end", worker=self.id, task=run.task, run=run.number, how=how)
        self._ended.set()
        self._ended = asyncio.Event()
        if run.gang and how != "done":
            members = Worker.gangs.get(run.gang_key, [])
            if run in members:
                members.remove(run)
            if run.working_since is not None:
                for member in list(members):
                    member.worker._end(member, "broken")

    def _stop(self, content):
        task, number = content["task"], content["run"]
        self.floor[task] = max(self.floor.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            self._later(STOP_MS / 2, self._end, run, "stopped")
        self._record("stop", worker=self.id, task=task, run=number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, content):
        if content.get("deadline_ms"):
            self._extend(content["deadline_ms"])
        seen = content.get("last_seen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        wait_s = content.get("wait_ms", 0) / 1000
        if wait_s and not self.finished:
            ended = self._ended
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), wait_s)
        active = [[r.task, r.number, "", r.percent(), 0] for r in self.runs.values()]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "active": active,
            "finished": self.finished[:500],
        }


def render(template, fields):
    """Fill a settings template as DEPLOY.md tells."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match[2] if look_up(match[1]) else ""

    def place(match):
        name, _, form = match[1].partition("|")
        value = look_up(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", place, text)


class Daemon:
    """One savoryleadd, started with the command of the deploy file."""

    def __init__(self, name, folder, store_port, zone="z1"):
        self.name = name
        self._folder = folder
        self.front, self.readiness = free_port(), free_port()
        ports = [free_port(), free_port()]
        self._settings = folder / f"{name}.json"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["savoryleadd"]
        fields = {
            "node_name": name,
            "region": "r1",
            "zone": zone,
            "ip": HOST,
            "port_range": ports,
            "listen": {
                "front": f"{HOST}:{self.front}",
                "readiness": f"{HOST}:{self.readiness}",
            },
            "platform": {"address": f"{HOST}:{store_port}"},
            "advice": "",
            "cloud_api": {"address": ""},
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "link_mbps": 1000.0,
                "memory_mb": 300,
            },
            "bounds": BOUNDS,
        }
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, fields))
        self._command = [
            str(self._settings) if word == "/etc/savorylead/node.toml" else word
            for word in role["run"].split(" ")
        ]
        self._process = None

    def start(self):
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def is_running(self):
        return self._process is not None and self._process.poll() is None

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()


async def call(port, method, path, headers=None, content=None, timeout_s=3.0):
    """Send one request on a connection of its own; the status is 0 without answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                body = b"" if content is None else json.dumps(content).encode()
                lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
                lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                message = await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    if message is None:
        return 0, None
    first, _, data = message
    try:
        return int(first.split(" ")[1]), json.loads(data) if data else None
    except ValueError:
        return int(first.split(" ")[1]), None


class Cell:
    """The store, the workers and the daemons of one small deployment."""

    def __init__(self, record_path, config, workers, daemons=3):
        """``workers`` are rows of service, number and capacity."""
        self.record = Record(record_path)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.config = config
        self._rows = workers
        self._daemon_count = daemons
        self.workers = []
        self.daemons = []
        self._servers = []
        self._tasks = []
        self._turn = 0

    async def start(self):
        Worker.gangs.clear()
        self.store.put_json("op/config", self.config)
        self.spawn(self.store.expire_leases())
        for service, count, capacity in self._rows:
            for number in range(count):
                name = f"{service}-{number + 1}"
                rack = f"r1-{number // 2 + 1}"
                worker = Worker(self.store, self.record, name, service, capacity, rack)
                self.workers.append(worker)
                await worker.start()
                self.spawn(worker.run())
        for number in range(self._daemon_count):
            server = HttpServer(self.store.handle)
            await server.start()
            self._servers.append(server)
            daemon = Daemon(f"edge-{number + 1}", self._folder, server.port)
            self.daemons.append(daemon)
            daemon.start()
        for _ in range(150):
            answers = [
                await call(d.readiness, "GET", "/v1/readyz", {"Host": "x"}, None, 1.0)
                for d in self.daemons
            ]
            leads = [k for k in self.store.items if k.startswith("savorylead/cell/le")]
            services = {row[0] for row in self._rows}
            if all(a[0] == 200 for a in answers) and len(leads) >= len(services):
                await asyncio.sleep(2)
                self.record("ready", daemons=len(self.daemons))
                return True
            await asyncio.sleep(0.2)
        return False

    def spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    def set_config(self, **changes):
        self.config = {**self.config, **changes}
        self.config["version"] += 3
        self.store.put_json("op/config", self.config)
        self.record("config", version=self.config["version"])

    async def ask(self, method, path, key, content=None, daemon=None):
        """Send a client's request, to the daemons in turn unless one is named."""
        if daemon is None:
            daemon = self.daemons[self._turn % len(self.daemons)]
            self._turn += 1
        headers = {
            "Host": "cell.example",
            "Savorylead-Key": key,
            "Savorylead-Deadline-Ms": "3000",
            "Content-Type": "application/json",
        }
        status, answer = await call(daemon.front, method, path, headers, content)
        self.record(
            "call",
            method=method,
            path=path,
            daemon=daemon.name,
            status=status,
            answer=answer,
        )
        return status, answer

    async def submit(self, path, key, steps, spec):
        """Hand a job in, with retries at other daemons as a sound client does."""
        content = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(5):
            status, _ = await self.ask("POST", path, key, content)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path, key):
        for _ in range(3):
            status, answer = await self.ask("GET", path, key)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return "unanswered"

    def running(self, job_id):
        """Return the runs of a job that are on workers now."""
        return [
            run
            for worker in self.workers
            for run in worker.runs.values()
            if run.task.startswith(job_id + ".")
        ]

    def logs(self):
        return {
            d.name: (self._folder / f"{d.name}.log").read_text(errors="replace")
            for d in self.daemons
        }

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        for server in [*self._servers, *(w.server for w in self.workers)]:
            server.stop()
        for task in self._tasks:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)
        self.record.close()


def amounts(cpu=0, mem_mb=0, gpu=0):
    return {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}


def route(name, service, **fields):
    return {
        "name": name,
        "host": "cell.example",
        "prefix": f"/{name}/",
        "service": service,
        "priority": 1,
        "max_attempts": 2,
        "stretch": 2.2,
        "slo_ms": 1000,
        **fields,
    }


def tenant(name, key, upper_bound=None):
    return {
        "name": name,
        "api_keys": [key],
        "weight": 4.0,
        "upper_bound": upper_bound or amounts(),
    }


def main(play, record_path):
    """Play a case; exit with 1 if the rule broke, 0 if it held, 2 if it can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(115):
            return await play(trouble, record_path)

    try:
        broken = asyncio.run(bounded())
    except Exception as exc:  # noqa: BLE001
        print(f"could not run: {type(exc).__name__}: {exc}")
        return 2
    return 2 if broken is None else int(broken)
