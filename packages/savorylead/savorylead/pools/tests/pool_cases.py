"""Builders of small pools for tests of the planner."""

from __future__ import annotations

from savorylead.jobs import Job, JobRecord, JobSpec, Run, RunState, StepRun, StepSpec
from savorylead.pools import (
    AdviceCost,
    PoolPlanner,
    PoolWorker,
    Queue,
    WorkerEntry,
)
from savorylead.resources import Resources

NOW_MS = 1_000_000
POOL = "pool"


def queue(name: str, priority: int, advised: bool = False, **changes: object) -> Queue:
    result = Queue(
        name=name,
        host="host",
        prefix=f"/{name}/",
        pool=POOL,
        priority=priority,
        max_attempts=2,
        stretch=2.0,
        objective_ms=3_000,
        anonymous=False,
        advice=AdviceCost(20.0, 0.5, 2_000) if advised else None,
    )
    return result._replace(**changes)


QUEUES = {
    "urgent": queue("urgent", 0, stretch=1.5, objective_ms=250),
    "normal": queue("normal", 1),
    "batch": queue("batch", 2, stretch=4.0),
}


def worker(
    name: str,
    cores: int = 16,
    memory_mb: int = 64_000,
    accelerators: int = 0,
    rack: str = "r1",
    label: str = "a",
) -> PoolWorker:
    entry = WorkerEntry(
        id=name,
        pool=POOL,
        address="127.0.0.1:1",
        zone="zone",
        capacity=Resources(cores * 1000, memory_mb, accelerators),
        labels=(label, rack),
        rack=rack,
        accepting=True,
        incarnation_start_ms=1,
    )
    result = PoolWorker(entry)
    result.listed = True
    result.usable = True
    return result


def step_of(
    job_id: str,
    queue_name: str,
    cores: float = 1.0,
    count: int = 1,
    accepted_at_ms: int = NOW_MS,
    team: str = "team",
    **changes: object,
) -> StepRun:
    spec = StepSpec(
        count=count,
        resources=Resources(int(cores * 1000), 1_000, 0),
        estimate_ms=1_000,
    )
    spec = spec._replace(**changes)
    record = JobRecord(
        job_id, POOL, queue_name, team, accepted_at_ms, JobSpec("text", (spec,))
    )
    job = Job(record, 1)
    job.open_due(NOW_MS)
    return next(job.ready_steps(NOW_MS))


def run_on(
    where: PoolWorker,
    step: StepRun,
    index: int = 0,
    state: RunState = RunState.RUNNING,
    confirmed_at_ms: int = NOW_MS - 2_000,
) -> Run:
    task = step.tasks[index]
    run = Run(task, 1, where.id, confirmed_at_ms)
    run.state = state
    run.confirmed_at_ms = confirmed_at_ms
    task.run = run
    where.add(run)
    return run


def plan(
    steps: list[StepRun],
    workers: list[PoolWorker],
    planner: PoolPlanner | None = None,
    limit_left: Resources | None = None,
    now_ms: int = NOW_MS,
    queues: dict[str, Queue] = QUEUES,
    **options: object,
) -> object:
    planner = planner or PoolPlanner()
    planner.set_queues(queues.values())
    return planner.plan(
        steps, queues, workers, lambda team: limit_left, now_ms, **options
    )


def starts(result: object) -> list[tuple[str, str]]:
    """Return job id and worker id of each placement, including gangs."""
    placed = [
        *result.placements,
        *(p for gang in result.gangs for p in gang.placements),
    ]
    return [(p.task.step.job.id, p.worker.id) for p in placed]
