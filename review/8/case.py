"""One job that can never be done stops all other starts at its service."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "6"))

from cell import FINISH_S, Cell, amounts, main, route, tenant  # noqa: E402

CAPACITY = amounts(16_000, 65_536)
#: Twenty jobs of a class within three seconds, one of which can never be done.
JOBS = 20
EVERY_S = 0.15
HOPELESS = 9
CPU = 1_500
SOUND_STEPS = [{"count": 1, "cpu": CPU, "mem_mb": 512, "estimate_ms": 300}]
#: The widest step of the class, whose tasks all fail.
WIDE_STEPS = [{"count": 36, "cpu": CPU, "mem_mb": 512, "estimate_ms": 300}]
WATCH_S = 3.0


def job_id(number):
    return f"{number + 1:016x}"


async def play(trouble, record_path):
    config = {
        "version": 5,
        "routes": [route("roster", "field", priority=0, max_attempts=4)],
        "services": [{"name": "field"}],
        "tenants": [tenant("t1", "key-1"), tenant("t2", "key-2")],
    }
    cell = Cell(record_path, config, [("field", 4, CAPACITY)])
    try:
        if not await cell.start():
            return None
        for number in range(JOBS):
            is_wide = number == HOPELESS
            steps = WIDE_STEPS if is_wide else SOUND_STEPS
            key = "key-1" if is_wide else "key-2"
            spec = {"ms": 300, "fails": is_wide and trouble}
            if not await cell.submit(f"/roster/{job_id(number)}", key, steps, spec):
                return None
            await asyncio.sleep(EVERY_S)
        return await judge(cell)
    finally:
        cell.stop()


async def judge(cell):
    """Ask for the sound jobs finish_s after the traffic, and watch them for 3 s."""
    cell.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    sound = [job_id(n) for n in range(JOBS) if n != HOPELESS]
    states = {j: await cell.state(f"/roster/{j}", "key-2") for j in sound}
    idle = {job for job, state in states.items() if state in ("queued", "running")}
    most_cpu = 0
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCH_S
    while loop.time() < until:
        idle = {job for job in idle if not cell.running(job)}
        most_cpu = max(most_cpu, CPU * sum(len(w.runs) for w in cell.workers))
        await asyncio.sleep(0.05)
    has_room = most_cpu < CAPACITY["cpu"] * len(cell.workers) / 2
    is_lost = bool(idle) and has_room
    cell.record("judged", states=states, idle=sorted(idle), cpu_in_use=most_cpu)
    print("LOST" if is_lost else "held", f"{len(idle)} idle, {most_cpu} in use")
    return is_lost or "410" in states.values()


if __name__ == "__main__":
    sys.exit(main(play, pathlib.Path(__file__).with_name("record.txt")))
