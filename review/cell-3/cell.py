"""Stand-ins of the platform's store, workers and clients, and real daemon processes.

Everything listens on loopback addresses and follows PROTOCOL.md of the users' pages.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NEVER = object()
RESET = object()


def now_ms():
    return int(time.time() * 1000)


def free_port():
    """Return a free port outside the range from which connections get theirs."""
    while True:
        port = random.randrange(20_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the play began."""
        return round(time.monotonic() - self.began, 3)

    def add(self, what, **fields):
        self.lines.append({"at_s": self.now(), "what": what, **fields})

    def of(self, *kinds):
        return [line for line in self.lines if line["what"] in kinds]

    def write(self, path):
        with open(path, "w") as file:
            for line in self.lines:
                file.write(json.dumps(line) + "\n")


class Server:
    """An HTTP/1.1 server; ``handle`` returns (status, body), NEVER or RESET."""

    def __init__(self, handle, host=HOST, port=0):
        self._handle = handle
        self._host = host
        self._port = port
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, backlog=256
        )
        port = self._server.sockets[0].getsockname()[1]
        self._port = port
        self.address = f"{self._host}:{port}"
        return self

    def reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rows = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for row in rows:
                    name, found, value = row.partition(":")
                    if found:
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                answer = await self._handle(
                    method, unquote(path), dict(parse_qsl(query)), headers, body
                )
                if answer is NEVER:
                    await reader.read()
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            # The play is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store; each daemon reaches it through a front of its own."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self.fronts = {}
        self._ticker = None

    def start(self):
        self._ticker = asyncio.ensure_future(self._tick())

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, row in self.leases.items() if row[1] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = sorted(k for k, item in self.items.items() if item["lease"] == lease)
        for key in keys:
            self.rev += 1
            del self.items[key]
            self.history.append((self.rev, key, None))
        self._wake()
        return True

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a key as the operator or a worker does."""
        self.rev += 1
        self._set(key, value, 0)
        self._wake()
        return self.rev

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self.history.append((self.rev, key, None))
            self._wake()

    def _set(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.rev
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.history.append((self.rev, key, dict(self.items[key])))

    def txn(self, body):
        expected = body.get("expected_rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                current = [
                    self.items.get(r["key"]) or {"key": r["key"], "rev": 0}
                    for r in expected
                ]
                return 412, {"items": current}
        puts, removed = body.get("set_keys", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removed) > 32:
            return 400, {}
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.rev += 1
        for put in puts:
            self._set(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.rev, key, None))
        self._wake()
        return 200, {"rev": self.rev}

    async def answer(self, method, path, query, body):
        name = path.removeprefix("/v1/")
        kind, _, argument = name.partition("/")
        if kind == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.rev}
            return 200, {**item, "current_rev": self.rev}
        if kind == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [dict(self.items[k]) for k in keys[: self.PAGE]]
            more = len(keys) > self.PAGE
            return 200, {"items": page, "current_rev": self.rev, "has_more": more}
        if kind == "kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                events = [
                    item or {"key": key, "rev": rev, "deleted": True}
                    for rev, key, item in self.history
                    if rev > after and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.rev}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
        if kind == "kv-txn":
            return self.txn(json.loads(body))
        if kind == "kv-lease":
            ttl = max(1000, int(json.loads(body)["ttl_ms"]))
            self._next_lease += 1
            lease = self._next_lease
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if kind == "kv-keep":
            row = self.leases.get(int(argument))
            if row is None:
                return 404, {}
            self.leases[int(argument)] = (row[0], time.monotonic() + row[0] / 1000)
            return 200, {}
        if kind == "kv-lease-end":
            return (200, {}) if self.end_lease(int(argument)) else (404, {})
        return 404, {}

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])


class StoreFront:
    """One daemon's way to the store, with the impairments of this way."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.delay_s = 0.004
        self.silent = False
        self.refuses = False
        #: Called with (kind, body); returns None, "lost" or a number of seconds after
        #: which the call is executed although it is never answered.
        self.trouble = None
        self.server = Server(self._handle)

    async def _handle(self, method, path, query, headers, body):
        if self.silent:
            return NEVER
        await asyncio.sleep(self.delay_s)
        if self.silent:
            return NEVER
        if self.refuses:
            return 503, {}
        fate = self.trouble(method, path, query, body) if self.trouble else None
        if isinstance(fate, int | float):
            asyncio.get_running_loop().call_later(fate, self._late, path, body)
            return NEVER
        answer = await self.store.answer(method, path, query, body)
        if fate == "lost" or self.silent:
            return NEVER
        return answer

    def _late(self, path, body):
        self.store.record.add("store call executed late", path=path)
        asyncio.ensure_future(self.store.answer("POST", path, {}, body))


class Worker:
    """One worker: its lease, its fencing token, its runs and its entry."""

    def __init__(self, cell, worker_id, pool, capacity, labels=("a", "r1"), zone="z1"):
        self.cell = cell
        self.record = cell.record
        self.id = worker_id
        self.pool = pool
        self.zone = zone
        self.capacity = capacity
        self.labels = list(labels)
        self.state = "ready"
        self.remaining_ms = None
        self.listed = True
        self.born = now_ms()
        self.server = Server(self._handle)
        #: The address in its entry, if that is not the server's.
        self.entry_address = ""
        self.clock_speed = 1.0
        self.delay_s = 0.001
        self.silent = False
        #: Called with (path, body): None, "lost", or seconds until a late execution.
        self.trouble = None
        self._seq = 0
        self._reset()

    def _reset(self, clock_ms=1000):
        self._clock0 = time.monotonic() - clock_ms / 1000
        self.fence = 0
        self.deadline = 0
        self.active = {}
        self.finished = []
        self.ends = 0
        self.highest = {}
        self._event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self._clock0) * 1000 * self.clock_speed)

    def begin_clock_at(self, clock_ms):
        """Let the clock of this life show a later time, as after a longer life."""
        self._reset(clock_ms)

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self._beat())
        asyncio.ensure_future(self._watch_lease())
        return self

    async def crash_for(self, seconds):
        """Crash, listen to nothing for a while, and start again under the same id."""
        self.listed = False
        await self.server.stop()
        self.crash()
        await asyncio.sleep(seconds)
        self._reset()
        self.born = now_ms()
        await self.server.start()
        self.listed = True
        self.register()
        self.record.add("worker is back", worker=self.id, born=self.born)

    def crash(self):
        """Lose everything; the same id starts again with a new lifetime."""
        self.record.add("worker crashes", worker=self.id, runs=list(self.active))
        for run in self.active.values():
            run["timer"].cancel()
        self._reset()
        self.born = max(now_ms(), self.born + 1)

    def register(self):
        self._seq += 1
        entry = {
            "service": self.pool,
            "address": self.entry_address or self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self.born,
            "machine": f"m-{self.id}",
            "capacity": self.capacity,
            "labels": self.labels,
        }
        if self.state == "draining" and self.remaining_ms is not None:
            entry["remaining_ms"] = self.remaining_ms
        self.cell.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _beat(self):
        while True:
            if self.listed:
                self.register()
            await asyncio.sleep(1.5)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.active and self.clock() >= self.deadline:
                for key in list(self.active):
                    self._end(key, "lapsed")

    async def _handle(self, method, path, query, headers, body):
        if self.silent:
            return NEVER
        await asyncio.sleep(self.delay_s)
        target = headers.get("savorylead-target-instance")
        if target and target != self.id:
            return 421, {}
        body = json.loads(body or b"{}")
        fate = self.trouble(path, body) if self.trouble else None
        if isinstance(fate, int | float):
            asyncio.get_running_loop().call_later(
                fate, lambda: asyncio.ensure_future(self._answer(path, body))
            )
            return NEVER
        answer = await self._answer(path, body)
        if fate == "lost" or self.silent:
            return NEVER
        return answer

    async def _answer(self, path, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/v1/run-start":
            return self._start_run(body)
        if path == "/v1/run-stop":
            self._stop_run(body["task"], body["run"])
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, deadline):
        limit = self.clock() + self.cell.hold_max_ms
        self.deadline = max(self.deadline, min(deadline, limit))

    def _start_run(self, body):
        key = (body["task"], body["run"])
        clock = self.clock()
        if key in self.active:
            return 200, {"clock_ms": clock}
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        if body["run"] <= self.highest.get(body["task"], 0):
            self._extend(body["deadline_ms"])
            return 409, {"clock_ms": clock, "reason": "old"}
        self._extend(body["deadline_ms"])
        length_s, how = self.cell.plan_of(body["task"], body["run"], self)
        loop = asyncio.get_running_loop()
        saved = body.get("last_checkpoint", "")
        size = self.cell.gang_size(body["task"])
        if size:
            # A member waits for the others for gang_timeout_ms.
            timer = loop.call_later(3.0, self._end, key, "alone")
        else:
            timer = loop.call_later(length_s, self._end, key, how)
        self.active[key] = {
            "timer": timer,
            "at": time.monotonic(),
            "s": length_s,
            "saved": saved,
        }
        self.record.add(
            "start",
            worker=self.id,
            task=body["task"],
            run=body["run"],
            fence=body["fencing_token"],
            checkpoint=saved,
            born=self.born,
        )
        if size:
            self._join_gang(key, size, how)
        return 200, {"clock_ms": clock}

    def _join_gang(self, key, size, how):
        """Let a gang work from the moment when all of its members are present."""
        members = self.cell.gangs.setdefault((key[0].rpartition(".")[0], key[1]), {})
        members[key[0]] = self
        if len(members) < size:
            return
        loop = asyncio.get_running_loop()
        for task, worker in members.items():
            run = worker.active[task, key[1]]
            run["timer"].cancel()
            run["at"] = time.monotonic()
            run["timer"] = loop.call_later(run["s"], worker._end, (task, key[1]), how)

    def _leave_gang(self, key, how):
        """End the other members, unless the gang is done."""
        members = self.cell.gangs.pop((key[0].rpartition(".")[0], key[1]), {})
        for task, worker in members.items():
            if task != key[0]:
                other = how if how == "done" else "broken"
                worker._end((task, key[1]), other)

    def _stop_run(self, task, run):
        self.highest[task] = max(self.highest.get(task, 0), run)
        if (task, run) in self.active:
            asyncio.get_running_loop().call_later(
                self.cell.stop_ms / 1000, self._end, (task, run), "stopped"
            )

    def _end(self, key, how):
        run = self.active.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.ends += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.finished.append([self.ends, key[0], key[1], how, run["saved"]])
        self.record.add(
            "end",
            worker=self.id,
            task=key[0],
            run=key[1],
            how=how,
            n=self.ends,
            born=self.born,
        )
        self._event.set()
        self._event = asyncio.Event()
        if self.cell.gang_size(key[0]):
            self._leave_gang(key, how)

    async def _hold(self, body):
        lease_left_ms = self.deadline - self.clock()
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        seen = body.get("last_seen", 0)
        gone = [row for row in self.finished if row[0] <= seen]
        for row in gone:
            self.record.add(
                "end taken note of",
                worker=self.id,
                task=row[1],
                run=row[2],
                how=row[3],
                lease_left_ms=lease_left_ms,
            )
        self.finished = [row for row in self.finished if row[0] > seen]
        wait = body.get("wait_ms", 0) / 1000
        if not self.finished and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._event.wait(), wait)
        now = time.monotonic()
        active = [
            [
                task,
                run,
                row["saved"],
                min(99, int(100 * (now - row["at"]) / row["s"]))
                if row["s"] < 1e5
                else 100,
                0,
            ]
            for (task, run), row in self.active.items()
        ]
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "active": active,
            "finished": self.finished[:500],
        }


class Proxy:
    """Takes the calls to a worker at an address of its own, and may hold some up.

    A call that is held up is complete when it arrives here, and is passed on to
    whatever listens at the worker's address when its time has come.
    """

    def __init__(self, worker):
        self._worker = worker
        #: Called with (path, body); returns the seconds for which to hold a call up.
        self.delay_of = lambda path, body: 0.0
        self.server = Server(self._handle)

    async def start(self):
        await self.server.start()
        self._worker.entry_address = self.server.address
        return self

    async def _handle(self, method, path, query, headers, body):
        delay_s = self.delay_of(path, json.loads(body or b"{}"))
        if delay_s:
            asyncio.get_running_loop().call_later(
                delay_s, self._pass_on_later, method, path, headers, body
            )
            return NEVER
        answer = await self._pass_on(method, path, headers, body)
        return answer if answer[0] else RESET

    def _pass_on_later(self, *call_):
        asyncio.ensure_future(self._pass_on(*call_))

    async def _pass_on(self, method, path, headers, body):
        target = headers.get("savorylead-target-instance")
        rows = {} if target is None else {"Savorylead-Target-Instance": target}
        content = json.loads(body or b"{}")
        return await call(self._worker.server.address, method, path, content, rows, 5.0)


class Daemon:
    """One savoryleadd process, started with the command of the deploy file."""

    def __init__(self, cell, name, front, machine=None):
        self.cell = cell
        self.name = name
        self.front = front
        self.process = None
        self.ports = {k: free_port() for k in ("front", "ready", "peers", "metrics")}
        self.settings = cell.folder / f"{name}.json"
        self.machine = machine or {
            "cpu_share": 0.537,
            "cores": 2,
            "link_mbps": 1000.0,
            "memory_mb": 300,
        }

    @property
    def address(self):
        return f"{HOST}:{self.ports['front']}"

    def write_settings(self):
        bounds = self.cell.bounds
        self.settings.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "region": "monteverde",
                    "domain": "z1",
                    "listen": {
                        "callers": self.address,
                        "readiness": f"{HOST}:{self.ports['ready']}",
                        "peers": f"{HOST}:{self.ports['peers']}",
                        "metrics": f"{HOST}:{self.ports['metrics']}",
                    },
                    "platform": {
                        "adapter": "savorylead_platform",
                        "store": self.front.server.address,
                        "adviser": self.cell.adviser_address,
                        "machines": "",
                    },
                    "machine": self.machine,
                    "bounds": {
                        "key_withdrawn_ms": bounds["revoke_ms"],
                        "stop_s": bounds["grace_s"],
                        "worker_lease_ms": bounds["hold_max_ms"],
                        "status_for_s": bounds["status_s"],
                    },
                    "scheduling": {
                        "stop_ms": bounds["stop_ms"],
                        "restore_ms": bounds["restore_ms"],
                        "mode": "auto",
                    },
                }
            )
        )

    async def start(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SAVORYLEAD_BOOT"] = str(self.settings)
        with open(self.cell.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "savorylead_daemon.main", "--config", str(self.settings)),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.cell.record.add("daemon started", daemon=self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.cell.record.add("signal", daemon=self.name, signal=int(number))

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def ready(self):
        status, _ = await call(
            f"{HOST}:{self.ports['ready']}", "GET", "/v1/readyz", timeout=1
        )
        return status == 200


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Return (status, body); status 0 without a complete answer."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        rows = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Content-Length": str(len(data)),
            "Connection": "close",
            **(headers or {}),
        }
        head = "".join(f"{k}: {v}\r\n" for k, v in rows.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await writer.drain()
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        length = 0
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        content = await reader.readexactly(length)
        return status, json.loads(content) if content else {}

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (
        TimeoutError,
        OSError,
        asyncio.IncompleteReadError,
        ValueError,
        asyncio.LimitOverrunError,
    ):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 6,
    "hold_max_ms": 6000,
    "status_s": 120,
    "stop_ms": 200,
    "restore_ms": 100,
}


class Cell:
    """The store, workers, daemons and clients of one play."""

    def __init__(self, bounds=None):
        self.record = Record()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self._temporary.name)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.hold_max_ms = self.bounds["hold_max_ms"]
        self.stop_ms = self.bounds["stop_ms"]
        self.adviser_address = ""
        self.store = Store(self.record)
        self.daemons = {}
        self.workers = {}
        self.proxies = {}
        #: Returns (seconds, how) of a run.
        self.plan_of = lambda task, run, worker: (1.0, "done")
        #: Returns the number of members of a task's gang; 0 outside of gangs.
        self.gang_size = lambda task: 0
        self.gangs = {}
        self.version = 0

    async def add_daemon(self, name, machine=None, start=True):
        front = StoreFront(self.store, name)
        await front.server.start()
        daemon = self.daemons[name] = Daemon(self, name, front, machine)
        if start:
            await daemon.start()
        return daemon

    async def add_worker(
        self, worker_id, pool, cpu=16000, mem=65536, gpu=0, has_proxy=False, **more
    ):
        capacity = {"cpu": cpu, "mem_mb": mem, "gpu": gpu}
        worker = Worker(self, worker_id, pool, capacity, **more)
        self.workers[worker_id] = worker
        if has_proxy:
            self.proxies[worker_id] = await Proxy(worker).start()
        return await worker.start()

    def put_config(self, routes, services, tenants):
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": tenants,
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.add(
            "config", version=self.version, routes=[r["name"] for r in routes]
        )

    def lead_of(self, pool):
        value = self.store.value(f"savorylead/cell/lead/{pool}")
        if value is None:
            return None, 0
        (member, term) = json.loads(value)
        return member[0], term

    async def wait_for(self, check, seconds, step=0.05):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(step)
        return None

    async def settled(self, pools, seconds=15):
        """Wait until all daemons are ready and the pools have leads."""

        async def check():
            ready = [
                await d.ready() for d in self.daemons.values() if d.process is not None
            ]
            return all(ready) and all(self.lead_of(p)[0] for p in pools)

        return await self.wait_for(check, seconds, 0.2)

    async def client(
        self, daemon, method, path, body=None, key="key-alpha", deadline_ms=3000
    ):
        headers = {"Savorylead-Key": key, "Savorylead-Deadline-Ms": str(deadline_ms)}
        began = time.monotonic()
        status, content = await call(
            daemon.address, method, path, body, headers, deadline_ms / 1000
        )
        self.record.add(
            "call",
            daemon=daemon.name,
            method=method,
            path=path,
            status=status,
            answer=content,
            took_ms=int(1000 * (time.monotonic() - began)),
        )
        return status, content

    async def submit(self, path, body, attempts=5, key="key-alpha", first=None):
        """Submit a job as a client does, with retries at other daemons."""
        names = list(self.daemons)
        for attempt in range(attempts):
            name = first if first and not attempt else random.choice(names)
            status, _ = await self.client(self.daemons[name], "POST", path, body, key)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def close(self, keep_logs=None):
        for daemon in self.daemons.values():
            await daemon.kill()
            await daemon.front.server.stop()
        for each in (*self.workers.values(), *self.proxies.values()):
            await each.server.stop()
        if keep_logs:
            target = pathlib.Path(keep_logs)
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.glob("*.log"):
                (target / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def route(name, service, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "max_attempts": 2,
        "stretch": 2.0,
        "slo_ms": 3000,
        **more,
    }


def tenant(name="alpha", **more):
    return {"name": name, "api_keys": [f"key-{name}"], "weight": 100.0, **more}


def job_id():
    return f"{random.getrandbits(64):016x}"


def play(main, record_path):
    """Run ``main(cell, trouble)``; exit with 1 if it returns broken rules."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cell = Cell()
        cell.store.start()
        try:
            broken = await asyncio.wait_for(main(cell, trouble), 110)
        finally:
            await cell.close(os.environ.get("KEEP_LOGS"))
            cell.record.write(record_path)
        return broken

    try:
        broken = asyncio.run(run())
    except Exception as exc:
        print(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    if broken is None:
        print("could not run")
        sys.exit(2)
    for text in broken:
        print(text)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
