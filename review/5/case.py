"""Jobs wait in a full service when their route moves to another service."""

from cell import TROUBLE, NotRunError, main

SERVICES = ("desk", "clinic")
STAY = {"desk-only": "desk", "clinic-only": "clinic"}
WAITING = [f"00000000000000{n:02d}" for n in range(1, 13)]
#: visible_ms and 2 s more, in seconds; younger jobs need not be counted.
COUNTED_AFTER_S = 5.0


async def scenario(cell):
    cell.put_config(1, {"orders": "desk", **STAY}, SERVICES)
    for service in SERVICES:
        cell.add_workers(service, 2)
    for name in cell.names:
        cell.start_daemon(name)
    await cell.wait_ready(SERVICES)
    big = {"cpu": 16_000, "mem_mb": 1_024}
    fill = cell.job("00000000000000ff", [{"count": 2, "seconds": 60, **big}])
    status, _ = await cell.call("edge-1", "POST", "/orders/00000000000000ff", fill)
    if status != 200:
        raise NotRunError("a job was not accepted")
    await cell.sleep(1.0)
    for job in WAITING:
        body = cell.job(job, [{"count": 1, "seconds": 5, **big}])
        status, _ = await cell.call("edge-1", "POST", f"/orders/{job}", body)
        if status != 200:
            raise NotRunError("a job was not accepted")
    await cell.sleep(COUNTED_AFTER_S + 1.0)
    for name in cell.names:
        await cell.call(name, "GET", "/orders/")
    if TROUBLE:
        cell.put_config(2, {"orders": "clinic", **STAY}, SERVICES)
    # Longer than config_apply_ms, so that the new version is in force everywhere.
    breaches = []
    for _ in range(4):
        await cell.sleep(2.5)
        for name in cell.names:
            not_begun = sum(not cell.starts(job) for job in WAITING)
            status, content = await cell.call(name, "GET", "/orders/")
            if status == 200 and content["pending"] < not_begun / 2:
                breaches.append(
                    f"{name} gives {content['pending']} as pending, while {not_begun} "
                    "jobs that were accepted over 5 s before have not begun"
                )
    return breaches


main(__file__, scenario)
