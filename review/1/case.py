"""A job is sent again after its route has moved to another service."""

from cell import TROUBLE, NotRunError, main

SHORT, LONG = "00000000000000a1", "00000000000000b2"
SERVICES = ("desk", "clinic")
STAY = {"desk-only": "desk", "clinic-only": "clinic"}


async def scenario(cell):
    cell.put_config(1, {"orders": "desk", **STAY}, SERVICES)
    for service in SERVICES:
        cell.add_workers(service, 3)
    for name in cell.names:
        cell.start_daemon(name)
    await cell.wait_ready(SERVICES)
    short = cell.job(SHORT, [{"count": 2, "cpu": 1_000, "mem_mb": 256, "seconds": 0.6}])
    long = cell.job(LONG, [{"count": 2, "cpu": 1_000, "mem_mb": 256, "seconds": 9}])
    for job, body in ((SHORT, short), (LONG, long)):
        status, _ = await cell.call("edge-1", "POST", f"/orders/{job}", body)
        if status != 200:
            raise NotRunError("the job was not accepted")
    await cell.sleep(2.0)
    status, content = await cell.call("edge-1", "GET", f"/orders/{SHORT}")
    if content.get("state") != "completed":
        raise NotRunError("the short job was not completed in time")
    if TROUBLE:
        cell.put_config(2, {"orders": "clinic", **STAY}, SERVICES)
    # Longer than config_apply_ms, so that the new version is in force everywhere.
    await cell.sleep(2.5)
    for job, body in ((SHORT, short), (LONG, long)):
        status, _ = await cell.call("edge-2", "POST", f"/orders/{job}", body)
        if status != 200:
            raise NotRunError("the repeated request was not answered with success")
    await cell.sleep(8.0)
    for job in (SHORT, LONG):
        await cell.call("edge-3", "GET", f"/orders/{job}")
    return cell.double_runs(SHORT) + cell.double_runs(LONG)


main(__file__, scenario)
