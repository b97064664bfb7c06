"""A small deployment: real daemons, and the project's stand-in of the platform.

The daemons are separate processes, started with the command of the deploy file and
with settings from its template. The store and the workers are the project's stand-ins,
served over HTTP on loopback by this process, which also is the client and the operator.
"""

import os
import random
import shutil
import socket
import tempfile
import time
import tomllib
import traceback
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.links import LinkError, LinkRequest, LinkSettings
from savorylead.pools import RunEnd
from savorylead.resources import Resources
from savorylead_daemon.http import HttpLinks
from savorylead_platform_standin._history import DayHistory
from savorylead_platform_standin._platform import StandInPlatform
from savorylead_platform_standin._recording_workers import RecordingWorkers
from savorylead_platform_standin._settings_template import render
from savorylead_standins.rig import Child

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
#: The figures of the smallest site of the pages.
BOUNDS = {"revoke_ms": 5_000, "grace_s": 6, "status_s": 120}
LIMITS = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "link_mbps": 1_000.0}
CLIENT_DEADLINE_MS = 3_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Exit codes; an uncaught exception of Python would exit with 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2


#: Below the ports that systems give to outgoing connections, so that none takes a port
#: between its choice and the start of its daemon.
PORTS = range(12_000, 32_000)
_ports_chosen = set()


def free_port():
    """Return a port of loopback that is free and was not returned before."""
    while True:
        port = random.choice(PORTS)
        if port in _ports_chosen:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _ports_chosen.add(port)
        return port


class NotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Workers(RecordingWorkers):
    """Writes starts and ends to the record, and which ends the system took note of."""

    def __init__(self, clock, history, note):
        super().__init__(clock, history)
        self._note = note
        #: Ends that ``last_seen`` of a call has reached, by task and run.
        self.seen_ends = {}

    def started(self, machine, order, fence):
        super().started(machine, order, fence)
        self._note(f"worker {machine.entry.id}: starts {order.task} run {order.number}")

    def ended(self, machine, task, number, how):
        super().ended(machine, task, number, how)
        self._note(f"worker {machine.entry.id}: {task} run {number} ends {how.value}")

    async def hold(self, worker, fence, released, deadline_ms, wait):
        machine = self.machines.get(worker.id)
        if machine is not None and not machine.is_cut:
            for ended in machine.ended:
                if ended.sequence <= released and fence >= machine.fence:
                    self.seen_ends[str(ended.task), ended.number] = time.monotonic()
        return await super().hold(worker, fence, released, deadline_ms, wait)


class Cell:
    """The deployment of one case."""

    def __init__(self, folder, daemons=3):
        self.clock = TwistedClock(reactor, datetime.now(UTC))
        self._record = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self.history = DayHistory()
        self.platform = StandInPlatform(reactor, self.clock)
        self.platform.history = self.history
        self.workers = Workers(self.clock, self.history, self.note)
        self.platform.workers = self.workers
        self._tmp = tempfile.TemporaryDirectory(prefix="savorylead-review-")
        self.names = [f"edge-{n + 1}" for n in range(daemons)]
        self._fields = {}
        self.running = {}
        self._children = []
        self._keyed = {}
        #: Steps of each job: the task's duration in seconds and its resources.
        self.jobs = {}
        #: Outcome of a run, by task name and run number; None for done.
        self.outcome_of = lambda task, number: None
        self.workers.duration_of = lambda t: timedelta(
            seconds=self.jobs[t.job][t.step]["seconds"]
        )
        self.workers.resources_of = lambda t: Resources(
            self.jobs[t.job][t.step].get("cpu", 0),
            self.jobs[t.job][t.step].get("mem_mb", 0),
            self.jobs[t.job][t.step].get("gpu", 0),
        )
        self.workers.how_ends = lambda t, n: self.outcome_of(t, n) or RunEnd.DONE
        reactor.addSystemEventTrigger("before", "shutdown", self.kill_all)

    # -- the record --

    def now(self):
        return time.monotonic() - self._began

    def note(self, text):
        self._record.write(f"{self.now():8.3f}  {text}\n")
        self._record.flush()

    async def sleep(self, seconds):
        await self.clock.sleep(timedelta(seconds=seconds))

    # -- the operator --

    def put_config(self, version, routes, services, cpu_limit=0):
        """Store a configuration; the answer of the store is its confirmation.

        ``cpu_limit`` is the tenant's ``upper_bound`` in thousandths of a core.
        """
        document = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "kind": "unsafe",
                    "timeout_ms": 3_000,
                    "service": service,
                    "priority": 1,
                    "max_attempts": 3,
                    "stretch": 2.0,
                    "slo_ms": 3_000,
                    "allow_anonymous": False,
                }
                for name, service in routes.items()
            ],
            "services": [
                {"name": name, "rejects_overload": False, "spare": False}
                for name in services
            ],
            "tenants": [
                {
                    "name": "tenant-a",
                    "api_keys": ["key-a"],
                    "weight": 50.0,
                    "upper_bound": {"cpu": cpu_limit, "mem_mb": 0, "gpu": 0},
                },
            ],
            "limits": {"max_body_bytes": 262_144},
        }
        self.platform.put_config(msgspec.json.encode(document))
        self.note(
            f"operator: configuration {version} confirmed, routes {routes}, "
            f"upper_bound {cpu_limit}"
        )

    # -- the machines --

    def capacity(self):
        """Return the capacity of a worker of the smallest site."""
        return Resources(16_000, 65_536, 0)

    def add_workers(self, service, count):
        for number in range(count):
            name = f"{service}-{number}"
            self.platform.add_worker(name, service, self.capacity())

    def start_daemon(self, name):
        """Start a daemon; a restarted one keeps its addresses."""
        fields = self._fields.get(name)
        if fields is None:
            addresses = self.platform.add_daemon(name)
            fields = self._fields[name] = {
                "node_name": name,
                "region": "region",
                "zone": "zone",
                "ip": HOST,
                "port_range": [free_port(), free_port()],
                "listen": {
                    "front": f"{HOST}:{free_port()}",
                    "readiness": f"{HOST}:{free_port()}",
                },
                "platform": {"address": addresses.store},
                "advice": addresses.adviser,
                "cloud_api": {"address": ""},
                "limits": LIMITS,
                "bounds": BOUNDS,
            }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["savoryleadd"]
        settings = Path(self._tmp.name, f"{name}.json")
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = [
            str(settings) if word == "/etc/savorylead/node.toml" else word
            for word in role["run"].split()
        ]
        log = Path(self._tmp.name, f"{name}.log")
        child = Child(name, log.with_suffix(".errors"), log)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        reactor.spawnProcess(child, words[0], words, env=env, path=str(ROOT))
        self._children.append(child)
        self.running[name] = child
        self.note(f"bench: {name} started, process {child.pid}")

    def kill(self, name):
        self.running.pop(name).signal("KILL")
        self.note(f"bench: {name} killed")

    def lead_of(self, service):
        """Return the daemon that holds the service's lead key in the store."""
        item = self.platform.store.items.get(f"savorylead/cell/lead/{service}")
        return None if item is None else msgspec.json.decode(item.value)[0][0]

    def kill_all(self):
        for child in self._children:
            if child.is_running:
                child.signal("KILL")

    async def wait_ready(self, services, limit_s=25.0):
        """Wait until all daemons are ready and each service has a lead."""
        until = self.now() + limit_s
        while True:
            ready = [await self._is_ready(name) for name in self.names]
            if all(ready) and all(self.lead_of(s) for s in services):
                break
            if self.now() > until:
                raise NotRunError("the daemons did not become ready")
            await self.sleep(0.2)
        # The machines are then in touch, and the workers are known.
        await self.sleep(3.0)

    async def _is_ready(self, name):
        link = self._link(self._fields[name]["listen"]["readiness"], "")
        try:
            request = LinkRequest("GET", "/v1/readyz")
            reply = await link.call(request, timedelta(seconds=1))
        except LinkError:
            return False
        return reply.status == 200

    # -- the client --

    def _link(self, address, key):
        link = self._keyed.get((address, key))
        if link is None:
            headers = {"savorylead-deadline-ms": str(CLIENT_DEADLINE_MS)}
            if key:
                headers["savorylead-key"] = key
            links = HttpLinks(
                reactor,
                self.clock,
                random.Random(1),
                headers,
                LinkSettings(max_attempts=1, max_connections=8),
            )
            link = self._keyed[address, key] = links.open(address)
        return link

    async def call(self, name, method, path, body=b"", key="key-a"):
        """Return the status and the body of a client's call; 0 for no answer."""
        link = self._link(self._fields[name]["listen"]["front"], key)
        try:
            reply = await link.call(
                LinkRequest(method, path, body),
                timedelta(milliseconds=CLIENT_DEADLINE_MS),
            )
        except LinkError as exc:
            self.note(f"client: {method} {path} to {name}: no answer ({exc})")
            return 0, {}
        content = msgspec.json.decode(reply.body) if reply.body else {}
        self.note(f"client: {method} {path} to {name}: {reply.status} {content}")
        return reply.status, content

    def job(self, job_id, steps):
        """Return the body of a job; ``seconds`` of a step is for the workers only."""
        self.jobs[job_id] = steps
        fields = [
            {k: v for k, v in step.items() if k != "seconds" and v} for step in steps
        ]
        return msgspec.json.encode({"spec": "payload", "steps": fields})

    # -- what the workers saw --

    def starts(self, job_id):
        return [s for s in self.history.starts if s.task.job == job_id]

    def double_runs(self, job_id):
        """Return the starts of a task beside a run of it, or after its noted end."""
        found = []
        starts = self.starts(job_id)
        for index, start in enumerate(starts):
            for other in starts[:index]:
                if other.task != start.task:
                    continue
                end = self.history.end_of(other)
                if end is None or end.at_ms > start.at_ms:
                    found.append(
                        f"{start.task} starts on {start.worker} while it runs on "
                        f"{other.worker}"
                    )
                elif (str(other.task), other.number) in self.workers.seen_ends:
                    if end.outcome != "done":
                        continue
                    found.append(
                        f"{start.task} starts on {start.worker} after its end 'done' "
                        f"on {other.worker} was taken note of"
                    )
        return found

    async def close(self):
        self.kill_all()
        for child in self._children:
            if child.is_running:
                await child.ended
        self.platform.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._tmp.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._tmp.cleanup()
        self._record.close()


def main(case_file, scenario, daemons=3):
    """Run ``scenario(cell)``, which returns the breaches; exit with the code."""
    folder = Path(case_file).resolve().parent
    cell = Cell(folder, daemons)
    code = [NOT_RUN]

    async def run():
        cell.note(f"TROUBLE={int(TROUBLE)}")
        try:
            breaches = await scenario(cell)
        except NotRunError as exc:
            cell.note(f"not run: {exc}")
            print(f"not run: {exc}")
        except Exception:
            cell.note(f"not run: {traceback.format_exc()}")
            traceback.print_exc()
        else:
            code[0] = BROKEN if breaches else HELD
            for breach in breaches:
                cell.note(f"broken: {breach}")
                print(f"broken: {breach}")
            text = "the rule was broken" if breaches else "the rule held"
            cell.note(f"result: {text}")
            print(text)
        await cell.close()

    def start():
        running = Deferred.fromCoroutine(run())
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    raise SystemExit(code[0])
