"""Three failures of a service keep another service waiting beside a free worker."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "cell-3"))
import cell as c  # noqa: E402

TASKS, CPU = 30, 250
#: The first runs of this many tasks of the first service fail, a share of 0.1.
FAILING, FAILS_AFTER_S = 3, 3.0
#: LOST holds for a lasting task from 6 s after its last run, and for 3 s without one.
#: These tasks have had none, so it is counted from the acceptance of their job.
LONGEST_WAIT_S = 6.0 + 3.0
PLAY_S = 50.0


def lasting(count, cpu):
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "long_running": True}
    return {"spec": "service", "steps": [{**step, "estimate_ms": 400}]}


async def main(cell, trouble):
    routes = [c.route("watch", "field", priority=1, max_attempts=2)]
    cell.put_config(routes, [{"name": "field"}], [c.tenant()])
    for number in range(2):
        await cell.add_worker(f"w{number}", "field", cpu=16000)
    beside, first, second = c.job_id(), c.job_id(), c.job_id()
    failing = {f"{first}.0.0.{number}" for number in range(FAILING)}

    def plan_of(task, run, worker):
        if trouble and task in failing and run == 1:
            return FAILS_AFTER_S, "failed"
        return 1e6, "done"

    cell.plan_of = plan_of
    for number in range(3):
        await cell.add_daemon(f"edge-{number}")
    if not await cell.settled(["field"]):
        return None
    await asyncio.sleep(3)
    # Another service fills one of the two workers for the whole play.
    if not await cell.submit(f"/watch/{beside}", lasting(1, 16000)):
        return None
    await asyncio.sleep(1)
    if not await cell.submit(f"/watch/{first}", lasting(TASKS, CPU)):
        return None
    # The failed tasks run again long before the second service comes.
    await asyncio.sleep(FAILS_AFTER_S + 9)
    ends = [row["how"] for row in cell.record.of("end")]
    if ends != ["failed"] * (FAILING if trouble else 0):
        return None
    starts = [row["task"] for row in cell.record.of("start")]
    if len(starts) != 1 + TASKS + len(ends):
        return None
    if not await cell.submit(f"/watch/{second}", lasting(TASKS, CPU)):
        return None
    accepted_at = cell.record.now()
    await asyncio.sleep(PLAY_S)
    over_at = cell.record.now()
    began_at = {r["task"]: r["at_s"] for r in cell.record.of("start")}
    waits = []
    for number in range(TASKS):
        at_s = began_at.get(f"{second}.0.0.{number}", over_at)
        waits.append(at_s - accepted_at)
    late = [wait_s for wait_s in waits if wait_s > LONGEST_WAIT_S]
    if not late:
        return []
    return [
        f"LOST: {len(late)} of {TASKS} tasks that last had no run for more than "
        f"{LONGEST_WAIT_S:.0f} s, the last for {max(late):.1f} s, while a sound worker "
        f"had room for all"
    ]


c.play(main, HERE / "record.txt")
