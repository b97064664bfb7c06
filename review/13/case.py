"""A lasting task that fails now and then stays without a run beside a free worker."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "cell-3"))
import cell as c  # noqa: E402

#: How long the runs of the task work before each fails by itself.
RUNS_S = (3.0, 2.5, 3.5, 3.0, 2.5, 3.5, 3.0, 2.5)
#: LOST holds for a lasting task from 6 s after its last run, and for 3 s without one.
LONGEST_GAP_S = 6.0 + 3.0
PLAY_S = 70.0


def lasting(cpu):
    step = {"count": 1, "cpu": cpu, "mem_mb": 64, "long_running": True}
    return {"spec": "service", "steps": [{**step, "estimate_ms": 400}]}


async def main(cell, trouble):
    routes = [c.route("watch", "field", priority=1, max_attempts=2)]
    cell.put_config(routes, [{"name": "field"}], [c.tenant()])
    for number in range(2):
        await cell.add_worker(f"w{number}", "field", cpu=16000)
    beside, failing = c.job_id(), c.job_id()

    def plan_of(task, run, worker):
        if trouble and task.startswith(failing):
            return RUNS_S[(run - 1) % len(RUNS_S)], "failed"
        return 1e6, "done"

    cell.plan_of = plan_of
    for number in range(3):
        await cell.add_daemon(f"edge-{number}")
    if not await cell.settled(["field"]):
        return None
    await asyncio.sleep(3)
    # Another service fills most of one worker for the whole play.
    if not await cell.submit(f"/watch/{beside}", lasting(14000)):
        return None
    await asyncio.sleep(1)
    if not await cell.submit(f"/watch/{failing}", lasting(4000)):
        return None
    await asyncio.sleep(PLAY_S)
    over_at = cell.record.now()
    runs = [
        row for row in cell.record.of("start", "end") if row["task"][:16] == failing
    ]
    if not runs:
        return None
    broken, ended_at = [], None
    for row in [*runs, {"what": "play over", "at_s": over_at}]:
        if row["what"] == "end":
            ended_at = row["at_s"]
        elif ended_at is not None:
            gap_s = row["at_s"] - ended_at
            if gap_s > LONGEST_GAP_S:
                broken.append(
                    f"LOST: no run of the lasting task for {gap_s:.1f} s from second "
                    f"{ended_at}, while a sound worker of 16 cores ran nothing"
                )
            ended_at = None
    return broken


c.play(main, HERE / "record.txt")
