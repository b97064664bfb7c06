"""One worker ends under a lasting job, and its service starts nothing else for 30 s."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "6"))

from cell import BEAT_S, FINISH_S, Cell, Worker, amounts, main, route, tenant  # noqa: E402

CAPACITY = amounts(32_000, 131_072)
WORKERS = 7
#: A job at the class's greatest width, which runs before the worker ends.
LASTING = [{"count": 36, "cpu": 500, "mem_mb": 128, "long_running": True}]
LASTING_JOB = "00000000000000aa"
BEFORE_S = 31.0
#: The address of an ended worker goes to another service after addr_reuse_s.
ADDR_REUSE_S = 2.0
#: The other tenant's job is sent this long after the worker's end.
NEXT_AFTER_S = 5.0
NEXT = [{"count": 2, "cpu": 2_000, "mem_mb": 256, "estimate_ms": 1_000}]
NEXT_JOB = "00000000000000c1"
WATCH_S = 3.0


async def replace(cell, worker):
    """End a worker and give its address to one of the other service."""
    port = worker.server.port
    cell.workers.remove(worker)
    cell.record("worker ends", worker=worker.id, runs=len(worker.runs))
    for run in list(worker.runs.values()):
        if run.timer is not None:
            run.timer.cancel()
    worker.runs.clear()
    worker.gone = True
    worker.server.stop()
    await asyncio.sleep(ADDR_REUSE_S)
    other = Worker(cell.store, cell.record, "other-9", "other", CAPACITY)
    cell.workers.append(other)
    await other.server.start(port)
    other.beat()
    cell.spawn(other.run())
    cell.record("address reused", worker=other.id)
    await asyncio.sleep(3 * BEAT_S - ADDR_REUSE_S)
    cell.store.delete(f"servers/{worker.id}")


async def play(trouble, record_path):
    config = {
        "version": 5,
        "routes": [route("watch", "lab"), route("scan", "lab")],
        "services": [{"name": "lab"}, {"name": "other"}],
        "tenants": [tenant("t1", "key-1"), tenant("t2", "key-2")],
    }
    rows = [("lab", WORKERS, CAPACITY), ("other", 2, CAPACITY)]
    cell = Cell(record_path, config, rows)
    try:
        if not await cell.start():
            return None
        path = f"/watch/{LASTING_JOB}"
        if not await cell.submit(path, "key-1", LASTING, {"lasts": True}):
            return None
        await asyncio.sleep(BEFORE_S)
        if len(cell.running(LASTING_JOB)) != LASTING[0]["count"]:
            return None
        if trouble:
            # The bench's seed picks the worker; here it is one with most tasks.
            cell.spawn(replace(cell, max(cell.workers, key=lambda w: len(w.runs))))
        await asyncio.sleep(NEXT_AFTER_S)
        if not await cell.submit(f"/scan/{NEXT_JOB}", "key-2", NEXT, {"ms": 1_000}):
            return None
        return await judge(cell)
    finally:
        cell.stop()


async def judge(cell):
    """Ask for the job finish_s after the traffic, and watch the workers for 3 s."""
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    state = await cell.state(f"/scan/{NEXT_JOB}", "key-2")
    is_idle = state in ("queued", "running")
    most_cpu = 0
    lab = [worker for worker in cell.workers if worker.service == "lab"]
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCH_S
    while loop.time() < until:
        is_idle = is_idle and not cell.running(NEXT_JOB)
        most_cpu = max(most_cpu, LASTING[0]["cpu"] * sum(len(w.runs) for w in lab))
        await asyncio.sleep(0.05)
    is_lost = is_idle and most_cpu < CAPACITY["cpu"] * len(lab) / 2
    cell.record("judged", state=state, cpu_in_use=most_cpu)
    print("LOST" if is_lost else "held", state, "cpu in use", most_cpu)
    return is_lost or state == "410"


if __name__ == "__main__":
    sys.exit(main(play, pathlib.Path(__file__).with_name("record.txt")))
