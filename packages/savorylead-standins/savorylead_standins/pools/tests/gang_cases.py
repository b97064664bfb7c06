"""A cell with a slow adviser and one wide gang, for tests of faults in the gang."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from savorylead.clock import Clock
from savorylead.jobs import Job, JobSpec, StepSpec
from savorylead.pools import (
    Advice,
    AdviceCost,
    AdviserError,
    AdviserRefusedError,
    PolicyAdviser,
    RunEnd,
    RunOrder,
    RunRejected,
    RunStarted,
    WorkerEntry,
)
from savorylead.resources import Resources
from savorylead_standins.pools import (
    MAX_NAMED_WORKERS,
    MemoryMachine,
    PoolCell,
    TicketIssuer,
)

from .cell_cases import READY_S

#: The large site's adviser, in milliseconds: time per call, additional time per worker
#: in the call, and validity of its tickets. One call takes MAX_NAMED_WORKERS at most.
DECIDE_MS = 560.0
PER_WORKER_MS = 5.0
VALID_MS = 2_000
#: Number of workers out of ten that its policy allows.
ALLOWED_OF_TEN = 3
#: Cores of a worker, and of a task so that one, two or three fit on a worker.
CORES = 16
TASK_CORES = {1: 9.0, 2: 6.3, 3: 4.5}
#: Capacity of the allowed workers, as a multiple of the gang.
CAPACITY_FACTOR = 2.0
#: Duration of a member's run; long enough for each fault to occur during it.
DURATION_S = 6.0
#: Maximum time without a run while capacity is free; after it the platform's owners
#: count the gang as lost.
MOST_IDLE_S = 3.0
#: Maximum time that a test waits for a run.
RUN_TIMEOUT_S = 40.0
GANG = "gang"
#: Time until a worker's response is received.
RESPONSE_DELAY = timedelta(milliseconds=2)

Refusal = Callable[[RunOrder, str], RunRejected | RunStarted | Exception | None]


def allows(step: str, worker: str) -> bool:
    """Return whether the policy allows a worker for a step."""
    return zlib.crc32(f"{step}/{worker}".encode()) % 10 < ALLOWED_OF_TEN


def workers_for(count: int, copies: int, job: str = GANG) -> int:
    """Return a number of workers whose allowed part fits ``CAPACITY_FACTOR`` gangs."""
    remaining = math.ceil(CAPACITY_FACTOR * count / copies) + 1
    number = 0
    while remaining:
        remaining -= allows(f"{job}.0.0", f"w{number}")
        number += 1
    return number


class SlowAdviser(PolicyAdviser):
    """An adviser whose calls take longer for more workers, with injected faults."""

    def __init__(self, clock: Clock, issuer: TicketIssuer) -> None:
        self._clock = clock
        self._issuer = issuer
        self._busy_until = clock.now()
        #: Whether each call fails at once.
        self.fails = False
        #: Additional delay of the next call, in seconds.
        self.late_s = 0.0
        #: Time and named workers of each call.
        self.calls: list[tuple[datetime, tuple[str, ...]]] = []

    async def advise(self, step: str, workers: Sequence[str]) -> Advice:
        """Return which of the workers may run the step."""
        now = self._clock.now()
        self.calls.append((now, tuple(workers)))
        if self.fails:
            raise AdviserError("no answer")
        if len(workers) > MAX_NAMED_WORKERS:
            raise AdviserRefusedError("too many workers in one call")
        duration = timedelta(milliseconds=DECIDE_MS + PER_WORKER_MS * len(workers))
        duration += timedelta(seconds=self.late_s)
        self.late_s = 0.0
        self._busy_until = max(now, self._busy_until) + duration
        await self._clock.sleep(self._busy_until - now)
        tickets = {
            w: self._issuer.issue(step, w, VALID_MS) for w in workers if allows(step, w)
        }
        return Advice(tickets, VALID_MS)


class GangCell(PoolCell):
    """A cell with one queue, which requires advice from the slow adviser."""

    def __init__(self, count: int, copies: int, nodes: int = 3) -> None:
        self.count = count
        self.copies = copies
        self.advisers: list[SlowAdviser] = []
        #: Time from the gang's start to its fault, in seconds.
        self.fault_after_s = 0.0
        #: Number of the run that was broken off.
        self.broken = 0
        #: Returns the outcome of a start in place of its execution; None to execute it.
        self.refuse: Refusal = lambda order, worker: None
        super().__init__(
            nodes=nodes, workers=workers_for(count, copies), cores=CORES, advised=True
        )
        self.workers.duration_of = lambda _: timedelta(seconds=DURATION_S)
        cores = TASK_CORES[copies]
        self.need = Resources(int(cores * 1000), 100, 0)
        self.workers.resources_of = lambda _: self.need
        self.workers.gang_size_of = lambda task: count if task.job == GANG else 0
        self.workers.reject_overload = True
        self._carry = self.workers.start
        self.workers.start = self._start  # type: ignore[method-assign]
        cost = AdviceCost(DECIDE_MS, PER_WORKER_MS, VALID_MS)
        queue = self.document.queues[0]
        queue = queue._replace(priority=1, advice=cost, objective_ms=3_000)
        self.put_config(self.document._replace(version=2, queues=(queue,)))
        self.run(READY_S)

    def _adviser(self) -> SlowAdviser:
        self.advisers.append(SlowAdviser(self.clock, self.tickets))
        return self.advisers[-1]

    async def _start(
        self, worker: WorkerEntry, fence: int, order: RunOrder
    ) -> RunStarted | RunRejected:
        outcome = self.refuse(order, worker.id)
        if outcome is not None:
            await self.clock.sleep(RESPONSE_DELAY)
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is not None:
            return outcome
        return await self._carry(worker, fence, order)

    def submit_gang(self) -> None:
        """Submit the gang's job."""
        step = StepSpec(self.count, self.need, estimate_ms=int(DURATION_S * 1000))
        self.submit(GANG, JobSpec("payload", (step._replace(gang=True),)))

    # -- state of the gang --

    def job(self) -> Job:
        """Return the gang's job from the state of its lead."""
        return self.lead()._state.jobs.jobs[GANG]

    def lead(self) -> object:
        """Return the pool's lead."""
        return self.nodes[self.lead_of()].leads["pool"]

    def members(self) -> list[tuple[MemoryMachine, tuple[str, int]]]:
        """Return the working members with their workers, except unreachable workers."""
        return [
            (machine, key)
            for machine in self.workers.machines.values()
            for key, active in machine.active.items()
            if active.works_since is not None and not machine.is_cut
        ]

    def works(self) -> bool:
        """Return whether the whole gang works."""
        return len(self.members()) == self.count

    def note_broken_run(self) -> None:
        """Record the last ordered run as broken."""
        self.broken = max(t.last_run for t in self.job().occurrences[0][0].tasks)

    def wait_until_it_works(self) -> float:
        """Return the seconds until the whole gang works, ``inf`` on timeout."""
        return self._wait_for(self.works)

    def wait_until_broken_run_is_over(self) -> float:
        """Return the seconds until the lead records its end, ``inf`` on timeout."""
        step = self.job().occurrences[0][0]
        return self._wait_for(
            lambda: all(t.run is None or t.run.number > self.broken for t in step.tasks)
        )

    def wait_until_it_works_again(self) -> float:
        """Return the seconds until a later run works, ``inf`` on timeout."""
        return self._wait_for(
            lambda: (
                self.works() and all(key[1] > self.broken for _, key in self.members())
            )
        )

    def _wait_for(self, condition: Callable[[], bool]) -> float:
        began = self.clock.now()
        while not condition():
            if (self.clock.now() - began).total_seconds() > RUN_TIMEOUT_S:
                return math.inf
            self.run(0.01)
        return (self.clock.now() - began).total_seconds()

    def end_member(self, number: int, how: RunEnd) -> None:
        """End one member's run."""
        machine, key = self.members()[number]
        machine._end(key, how)
