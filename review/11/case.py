"""A start order that was given up takes effect in the worker's next life."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "cell-3"))
import cell as c  # noqa: E402

#: One of them starts again; the site allows a share of 0.14.
WORKERS = 8
#: Sound tasks before, so that one order of more than twenty is held up (x is 0.055).
SOUND_TASKS, SOUND_S = 40, 0.3
TASK_S = 20.0
#: How long one start order is held up on its way; the pages say 2 to 12 s.
HELD_UP_S = 8.0
#: When after that order its worker crashes, and for how long it is down.
CRASH_AFTER_S, DOWN_S = 1.0, 3.5


async def main(cell, trouble):
    cell.put_config([c.route("quick", "field")], [{"name": "field"}], [c.tenant()])
    for number in range(WORKERS):
        worker = await cell.add_worker(f"w{number}", "field", has_proxy=True)
        # The workers have been up for eight minutes.
        worker.begin_clock_at(480_000)
    sound, long = c.job_id(), c.job_id()
    cell.plan_of = lambda task, run, worker: (
        TASK_S if task.startswith(long) else SOUND_S,
        "done",
    )
    for number in range(3):
        await cell.add_daemon(f"edge-{number}")
    if not await cell.settled(["field"]):
        return None
    await asyncio.sleep(3)
    step = {"cpu": 100, "mem_mb": 64, "estimate_ms": 300, "count": SOUND_TASKS}
    body = {"spec": "work", "steps": [step]}
    if not await cell.submit(f"/quick/{sound}", body):
        return None
    ends = cell.record.of
    if not await cell.wait_for(lambda: len(ends("end")) >= SOUND_TASKS, 20):
        return None
    held_up = []

    def delay_of(worker):
        def delay(path, body):
            if path != "/v1/run-start" or held_up:
                return 0.0
            if not body["task"].startswith(long):
                return 0.0
            held_up.append(worker)
            cell.record.add("order held up", worker=worker.id, run=body["run"])
            return HELD_UP_S

        return delay

    if trouble:
        for worker_id, proxy in cell.proxies.items():
            proxy.delay_of = delay_of(cell.workers[worker_id])
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 20000}
    if not await cell.submit(f"/quick/{long}", {"spec": "work", "steps": [step]}):
        return None
    await asyncio.sleep(CRASH_AFTER_S)
    if trouble:
        if not held_up:
            return None
        await held_up[0].crash_for(DOWN_S)
    await asyncio.sleep(TASK_S + 8)
    broken, active = [], {}
    for row in cell.record.of("start", "end", "worker crashes"):
        if row["what"] == "worker crashes":
            for _, run in row["runs"]:
                active.pop(run, None)
        elif not row["task"].startswith(long):
            continue
        elif row["what"] == "end":
            active.pop(row["run"], None)
        else:
            for run, worker in active.items():
                broken.append(
                    f"TWICE: run {row['run']} started on {row['worker']} at second "
                    f"{row['at_s']}, while run {run} was at work on {worker}"
                )
            active[row["run"]] = row["worker"]
    return broken


c.play(main, HERE / "record.txt")
