"""A task is given up for a crash of a worker that happened before its job came."""

import os

from cell import TROUBLE, NotRunError, main
from twisted.internet import reactor

from savorylead.clock import to_millis
from savorylead.pools import RunEnd

JOB = "0000000000000cd2"
SERVICE = "desk"
#: Eight workers, of which 0.14, the share of the site file, is one.
WORKERS = 8
#: How long a crashed worker is away, in seconds; the site file has up to 4.5.
DOWN_S = 2.0
#: From the start of a worker to its first entry in the store, in seconds.
REGISTER_S = 0.3
#: Age of the second run when its worker crashes, in seconds.
CRASH_AGE_S = 0.2
#: Set to 0 to leave out the first crash only.
FIRST_CRASH = os.environ.get("FIRST_CRASH", "1") != "0"


class Machines:
    """Crashes workers: their sockets close, and they return under their ids."""

    def __init__(self, cell):
        self.cell = cell
        self._ports = {}

    def add(self, worker_id):
        self._ports[worker_id] = self.cell.platform._ports[-1]

    async def crash(self, worker_id):
        cell, port = self.cell, self._ports[worker_id]
        machine = cell.workers.machines[worker_id]
        cell.note(f"worker {worker_id}: crashes")
        cell.platform._timers[worker_id].cancel()
        cell.workers.crashed(machine)
        machine.crash()
        machine.is_cut = True
        address, site = port.getHost(), port.factory
        port.stopListening()
        for channel in list(site._channels):
            channel.transport.abortConnection()
        await cell.sleep(DOWN_S)
        born = to_millis(cell.clock.now())
        machine.crash()
        machine.entry = machine.entry._replace(incarnation_start_ms=born)
        self._ports[worker_id] = reactor.listenTCP(address.port, site, 50, address.host)
        cell.platform._ports.append(self._ports[worker_id])
        cell.note(f"worker {worker_id}: is back under its id, born {born}")

    async def register(self, worker_id):
        await self.cell.sleep(REGISTER_S)
        self.cell.platform._register(worker_id)
        self.cell.note(f"worker {worker_id}: writes its entry")


async def scenario(cell):
    cell.put_config(1, {"orders": SERVICE}, (SERVICE,))
    machines = Machines(cell)
    for number in range(WORKERS):
        cell.platform.add_worker(f"{SERVICE}-{number}", SERVICE, cell.capacity())
        machines.add(f"{SERVICE}-{number}")
    for name in cell.names:
        cell.start_daemon(name)
    await cell.wait_ready((SERVICE,))
    step = {"count": 1, "cpu": 1_000, "mem_mb": 256, "estimate_ms": 1_000}
    body = cell.job(JOB, [{"seconds": 1, **step}])
    # The first run ends 'failed', as one of twenty does; max_attempts is 3.
    first_runs = []

    def outcome(task, number):
        if not first_runs:
            first_runs.append(number)
        return RunEnd.FAILED if number == first_runs[0] else None

    cell.outcome_of = outcome
    first = f"{SERVICE}-0"
    if TROUBLE and FIRST_CRASH:
        await machines.crash(first)
    status, _ = await cell.call("edge-1", "POST", f"/orders/{JOB}", body)
    if status != 200:
        raise NotRunError("the job was not accepted")
    if TROUBLE and FIRST_CRASH:
        await machines.register(first)
    for _ in range(200):
        if len(cell.starts(JOB)) == 2:
            break
        await cell.sleep(0.02)
    else:
        raise NotRunError("the failed task was not started again")
    if TROUBLE:
        await cell.sleep(CRASH_AGE_S)
        second = cell.starts(JOB)[1].worker
        await machines.crash(second)
        await machines.register(second)
    await cell.sleep(12.0)
    status, content = await cell.call("edge-2", "GET", f"/orders/{JOB}")
    ends = [e.outcome for e in cell.history.ends if e.task.job == JOB]
    cell.note(f"ends of the task: {ends}")
    if content.get("state") == "failed":
        return [
            f"{JOB} is shown as 'failed' after these ends of its task: {ends}; "
            "max_attempts is 3"
        ]
    return []


main(__file__, scenario)
