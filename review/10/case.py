"""A tenant's upper bound is lowered, and a service starts its tasks far above it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "6"))

from cell import Cell, amounts, main, route, tenant  # noqa: E402

CAPACITY = amounts(16_000, 65_536)
BOUND_CPU = 40_000
LOWERED_CPU = 20_000
#: `quota_overshoot` of the sheet.
OVERSHOOT = 0.1
#: Tasks that last, which hold three quarters of the first bound.
LASTING = [{"count": 30, "cpu": 1_000, "mem_mb": 128, "long_running": True}]
LASTING_JOB = "00000000000000aa"
#: What the tenant sends to its other service, before and after the change.
SMALL_CPU = 2_000
SMALL = [{"count": 2, "cpu": SMALL_CPU, "mem_mb": 128, "estimate_ms": 1_000}]
CONFIG_APPLY_S = 2.0


def cpu_running(cell):
    return sum(
        LASTING[0]["cpu"] if run.lasts else SMALL_CPU
        for worker in cell.workers
        for run in worker.runs.values()
    )


async def small_job(cell, number):
    path = f"/scan/{number:016x}"
    return await cell.submit(path, "key-1", SMALL, {"ms": 1_000})


async def play(trouble, record_path):
    config = {
        "version": 5,
        "routes": [route("watch", "field"), route("scan", "lab")],
        "services": [{"name": "field"}, {"name": "lab"}],
        "tenants": [tenant("t1", "key-1", amounts(BOUND_CPU))],
    }
    cell = Cell(record_path, config, [("field", 4, CAPACITY), ("lab", 4, CAPACITY)])
    try:
        if not await cell.start():
            return None
        path = f"/watch/{LASTING_JOB}"
        if not await cell.submit(path, "key-1", LASTING, {"lasts": True}):
            return None
        await asyncio.sleep(3)
        if not await small_job(cell, 1):
            return None
        await asyncio.sleep(3)
        if cpu_running(cell) != LASTING[0]["count"] * LASTING[0]["cpu"]:
            return None
        if trouble:
            lowered = tenant("t1", "key-1", amounts(LOWERED_CPU))
            cell.set_config(tenants=[lowered])
        bound = LOWERED_CPU if trouble else BOUND_CPU
        await asyncio.sleep(CONFIG_APPLY_S + 2)
        return await watch(cell, bound)
    finally:
        cell.stop()


async def watch(cell, bound):
    """Send more small jobs; return whether a start goes beyond the rule's allowance."""
    allowed = bound * (1 + OVERSHOOT) + SMALL_CPU
    over = []
    for number in range(2, 7):
        if not await small_job(cell, number):
            return None
        before = len([r for r in cell.record.rows if r["kind"] == "start"])
        for _ in range(40):
            await asyncio.sleep(0.05)
            starts = [r for r in cell.record.rows if r["kind"] == "start"]
            if len(starts) > before and cpu_running(cell) > allowed:
                over.append(cpu_running(cell))
            before = len(starts)
    cell.record("judged", bound=bound, allowed=allowed, running_after_starts=over)
    print("QUOTA" if over else "held", f"bound {bound}, running {max(over, default=0)}")
    return bool(over)


if __name__ == "__main__":
    sys.exit(main(play, pathlib.Path(__file__).with_name("record.txt")))
