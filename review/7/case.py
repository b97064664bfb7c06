"""A tenant's upper bound is lowered, and its next job never starts."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "6"))

from cell import FINISH_S, Cell, amounts, main, route, tenant  # noqa: E402

CAPACITY = amounts(16_000, 65_536)
UPPER_BOUND = amounts(100_000)
LOWERED_BOUND = amounts(20_000)
#: What the tenant runs before the change: 60 cores at one service, 3 at the other.
WIDE = [{"count": 30, "cpu": 2_000, "mem_mb": 256, "estimate_ms": 1_500}]
SMALL = [{"count": 1, "cpu": 3_000, "mem_mb": 256, "estimate_ms": 1_500}]
SPEC = {"ms": 1_500}
#: What it sends after the change: one task of less than half of the lowered bound.
CPU = 9_000
NEXT = [{"count": 1, "cpu": CPU, "mem_mb": 256, "estimate_ms": 1_500}]
NEXT_JOB = ("/scan/", "00000000000000c1")
CONFIG_APPLY_S = 2.0
WATCH_S = 3.0


async def run_before(cell):
    """Run the first jobs to their ends; return whether they completed."""
    jobs = [("/plan/", "00000000000000a1", WIDE), ("/scan/", "00000000000000b1", SMALL)]
    for path, job, steps in jobs:
        if not await cell.submit(path + job, "key-1", steps, SPEC):
            return False
        await asyncio.sleep(0.5)
    for _ in range(30):
        await asyncio.sleep(0.5)
        states = [await cell.state(path + job, "key-1") for path, job, _ in jobs]
        if set(states) == {"completed"}:
            return True
    return False


async def play(trouble, record_path):
    config = {
        "version": 5,
        "routes": [route("plan", "field"), route("scan", "lab")],
        "services": [{"name": "field"}, {"name": "lab"}],
        "tenants": [tenant("t1", "key-1", UPPER_BOUND)],
    }
    cell = Cell(record_path, config, [("field", 4, CAPACITY), ("lab", 4, CAPACITY)])
    try:
        if not await cell.start() or not await run_before(cell):
            return None
        if trouble:
            cell.set_config(tenants=[tenant("t1", "key-1", LOWERED_BOUND)])
        await asyncio.sleep(CONFIG_APPLY_S + 2)
        path, job = NEXT_JOB
        if not await cell.submit(path + job, "key-1", NEXT, SPEC):
            return None
        return await judge(cell)
    finally:
        cell.stop()


async def judge(cell):
    """Ask for the job finish_s after the traffic, and watch the workers for 3 s."""
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    path, job = NEXT_JOB
    state = await cell.state(path + job, "key-1")
    is_idle = state in ("queued", "running")
    runs = 0
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCH_S
    while loop.time() < until:
        runs += sum(len(worker.runs) for worker in cell.workers)
        await asyncio.sleep(0.05)
    is_lost = is_idle and not runs
    cell.record("judged", state=state, runs_seen=runs)
    print("LOST" if is_lost else "held", state)
    return is_lost or state == "410"


if __name__ == "__main__":
    sys.exit(main(play, pathlib.Path(__file__).with_name("record.txt")))
