"""Large jobs of one tenant come at once at two services and wait for each other."""

import asyncio
import pathlib
import sys

from cell import FINISH_S, Cell, amounts, main, route, tenant

CAPACITY = amounts(16_000, 65_536)
LIMIT_CPU = 10_000
#: Three tasks that work together: six tenths of the tenant's upper bound.
STEPS = [{"count": 3, "cpu": 2_000, "mem_mb": 512, "estimate_ms": 1_500, "gang": True}]
SPEC = {"ms": 1_500, "gang": 3}
JOBS = [
    ("/plan/", "00000000000000a1"),
    ("/scan/", "00000000000000b1"),
    ("/plan/", "00000000000000a2"),
    ("/scan/", "00000000000000b2"),
]
WATCH_S = 3.0


async def wait_until_done(cell, jobs, timeout_s):
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    while loop.time() < until:
        states = [await cell.state(path + job, "key-1") for path, job in jobs]
        if all(state == "completed" for state in states):
            return True
        await asyncio.sleep(0.5)
    return False


async def play(trouble, record_path):
    config = {
        "version": 5,
        "routes": [route("plan", "field"), route("scan", "lab")],
        "services": [{"name": "field"}, {"name": "lab"}],
        "tenants": [tenant("t1", "key-1", amounts(LIMIT_CPU))],
    }
    cell = Cell(record_path, config, [("field", 4, CAPACITY), ("lab", 4, CAPACITY)])
    try:
        if not await cell.start():
            return None
        if trouble:
            sent = [cell.submit(path + j, "key-1", STEPS, SPEC) for path, j in JOBS]
            if not all(await asyncio.gather(*sent)):
                return None
        else:
            for path, job in JOBS:
                if not await cell.submit(path + job, "key-1", STEPS, SPEC):
                    return None
                if not await wait_until_done(cell, [(path, job)], 12):
                    break
        return await judge(cell)
    finally:
        cell.stop()


async def judge(cell):
    """Ask for the jobs finish_s after the traffic, and watch the workers for 3 s."""
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    states = {j: await cell.state(path + j, "key-1") for path, j in JOBS}
    idle = {job for job, state in states.items() if state in ("queued", "running")}
    most_cpu = 0
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCH_S
    while loop.time() < until:
        idle = {job for job in idle if not cell.running(job)}
        running = sum(len(worker.runs) for worker in cell.workers)
        most_cpu = max(most_cpu, running * STEPS[0]["cpu"])
        await asyncio.sleep(0.05)
    is_lost = bool(idle) and most_cpu < LIMIT_CPU / 2
    cell.record("judged", states=states, idle=sorted(idle), cpu_in_use=most_cpu)
    print("LOST" if is_lost else "held", states)
    return is_lost or any(state == "410" for state in states.values())


if __name__ == "__main__":
    sys.exit(main(play, pathlib.Path(__file__).with_name("record.txt")))
