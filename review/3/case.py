"""A route moves to another service, and its former service leaves the configuration."""

from cell import TROUBLE, NotRunError, main

DONE, RUNNING = "00000000000000e5", "00000000000000f6"
#: Longer than visible_ms and config_apply_ms, in seconds.
SETTLED_S = 4.0


async def scenario(cell):
    cell.put_config(1, {"orders": "desk", "scans": "clinic"}, ("desk", "clinic"))
    for service in ("desk", "clinic"):
        cell.add_workers(service, 2)
    for name in cell.names:
        cell.start_daemon(name)
    await cell.wait_ready(("desk", "clinic"))
    small = {"cpu": 1_000, "mem_mb": 256}
    jobs = {
        DONE: cell.job(DONE, [{"count": 2, "seconds": 1, **small}]),
        RUNNING: cell.job(RUNNING, [{"count": 2, "seconds": 30, **small}]),
    }
    for job, body in jobs.items():
        status, _ = await cell.call("edge-1", "POST", f"/orders/{job}", body)
        if status != 200:
            raise NotRunError("a job was not accepted")
    await cell.sleep(SETTLED_S)
    for job in jobs:
        status, _ = await cell.call("edge-2", "GET", f"/orders/{job}")
        if status != 200:
            raise NotRunError("a job is not known before the change")
    if TROUBLE:
        cell.put_config(2, {"orders": "clinic", "scans": "clinic"}, ("clinic",))
    breaches = []
    for _ in range(3):
        await cell.sleep(SETTLED_S)
        for name in cell.names:
            for job in jobs:
                status, _ = await cell.call(name, "GET", f"/orders/{job}")
                if status == 410:
                    breaches.append(f"{name} answers 410 for the accepted job {job}")
    return breaches


main(__file__, scenario)
