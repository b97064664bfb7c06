"""A daemon that the store turns away denies a job that its peer has stored."""

from datetime import timedelta

from cell import TROUBLE, NotRunError, main

JOB = "0000000000000ab1"
SERVICE = "desk"
#: Limits of the site file: how long the store is down, in seconds.
DOWN_S = 4.5
#: How long after the lost answer the store goes down, in seconds.
DOWN_AFTER_S = 0.1


def lose_the_first_answer(cell, view, taken):
    """Have the store do the write of the job and lose its answer, then go down."""
    commit = view.commit

    async def commit_once(expected, puts=(), deletes=()):
        of_job = any(JOB in put.key for put in puts)
        if not of_job or taken:
            return await commit(expected, puts, deletes)
        taken.append(cell.now())
        store = cell.platform.store
        store.lost_answers = 1
        cell.clock.call_later(timedelta(seconds=DOWN_AFTER_S), set_down, cell, True)
        cell.note("store: does the write of the job, and its answer is lost")
        return await commit(expected, puts, deletes)

    view.commit = commit_once


def set_down(cell, is_down):
    cell.platform.store.refuses = is_down
    cell.note(f"store: {'down (503)' if is_down else 'back'}")
    if is_down:
        cell.clock.call_later(timedelta(seconds=DOWN_S), set_down, cell, False)


async def scenario(cell):
    cell.put_config(1, {"orders": SERVICE}, (SERVICE,))
    cell.add_workers(SERVICE, 2)
    for name in cell.names:
        cell.start_daemon(name)
    await cell.wait_ready((SERVICE,))
    cell.platform.store.leases_lapse = False
    body = cell.job(JOB, [{"count": 2, "cpu": 1_000, "mem_mb": 256, "seconds": 1}])
    gateway = next(name for name in cell.names if name != cell.lead_of(SERVICE))
    if TROUBLE:
        taken = []
        for name in cell.names:
            if name != gateway:
                lose_the_first_answer(cell, cell.platform.views[name], taken)
        cell.platform.views[gateway].is_refused = True
        cell.note(f"store: turns {gateway} away (503)")
        await cell.sleep(0.5)
    status, _ = await cell.call(gateway, "POST", f"/orders/{JOB}", body)
    await cell.sleep(DOWN_S + 1.0)
    cell.platform.views[gateway].is_refused = False
    await cell.sleep(8.0)
    started = cell.starts(JOB)
    if not TROUBLE and (status != 200 or not started):
        raise NotRunError("the job was not accepted, or did not run")
    if TROUBLE and not taken:
        raise NotRunError("no peer was asked to store the job")
    if status in (429, 503) and started:
        return [
            f"{len(started)} tasks started of a job whose only request got {status}"
        ]
    return []


main(__file__, scenario)
