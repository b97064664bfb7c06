"""Accepts, refuses and cancels tasks of a shard."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from savorylead.clock import to_millis
from savorylead.contracts import TaskId, TaskSpec
from savorylead.journal import Accepted, Event, Phase, Tombstoned
from savorylead.outcomes import NotRun, Refusal, Unknown
from savorylead.placement import Decision, Overflow, PendingTask
from savorylead.resources import ZERO
from savorylead_daemon.services import Admitted, SubmitReply

from ._dispatcher import TaskDispatcher, members_of
from ._offers import OfferedJob
from ._parts import CellPolicy
from ._shared import SharedParts


class TaskIntake:
    """Handles submissions, offers and cancellations; replies wait for durability."""

    def __init__(
        self,
        shared: SharedParts,
        dispatcher: TaskDispatcher,
        policy: Callable[[], CellPolicy],
        report_demand: Callable[[set[str]], None],
    ) -> None:
        """``report_demand`` is called with the teams whose queues grew."""
        self._shared = shared
        self._ledger = shared.ledger
        self._dispatcher = dispatcher
        self._policy = policy
        self._report_demand = report_demand

    async def submit(self, specs: Sequence[TaskSpec]) -> list[SubmitReply]:
        """Accept new tasks and reply to repeated ones; one reply per spec."""
        now_ms = self._now_ms()
        new_tasks: list[PendingTask] = []
        events: list[Event] = []
        for spec in specs:
            # One tombstone covers all members of an all-at-once job.
            if spec.id.job() in self._ledger.state.records:
                continue
            refusal = self._refusal_of(spec)
            if refusal is None:
                events.append(Accepted(spec, now_ms))
                new_tasks.append(self._shared.queue.new_pending(spec, now_ms))
            else:
                self._shared.observer.refused(spec, refusal.reason)
                events.append(Tombstoned(spec.id, refusal, now_ms))
        self._accept(events, new_tasks)
        return [await self._reply_to(spec) for spec in specs]

    async def handle_offer(self, origin: str, job: OfferedJob) -> bool:
        """Accept a job offered by another shard, or decline it permanently."""
        first = job.specs[0].id
        if first not in self._ledger.state.records:
            self._take_or_decline(origin, job)
        for spec in job.specs:
            await self._ledger.until_durable(spec.id)
        record = self._ledger.state.records.get(first)
        return record is not None and record.phase is not Phase.TOMBSTONED

    async def cancel(self, tasks: Sequence[TaskId]) -> None:
        """Cancel tasks; unknown ones get a tombstone."""
        for task in tasks:
            await self._shared.offers.answered(task.job())
        records = self._ledger.state.records
        known = [
            member
            for task in tasks
            if task.job() in records
            for member in self.members(task.job())
        ]
        self._dispatcher.cancel(known)
        await self.tombstone([t for t in tasks if t.job() not in records])
        for task in known:
            await self._ledger.until_durable(task)

    async def tombstone(self, tasks: Sequence[TaskId]) -> None:
        """Prevent tasks from being accepted later; has no effect on known tasks."""
        now_ms = self._now_ms()
        self._dispatcher.commit(
            [
                Tombstoned(task.job(), NotRun(Refusal.TOMBSTONE), now_ms)
                for task in tasks
                if task.job() not in self._ledger.state.records
            ]
        )
        for task in tasks:
            await self._ledger.until_durable(task.job())

    def members(self, job: TaskId) -> list[TaskId]:
        """Return the ids of a job's members, or just ``job`` if it is unknown."""
        record = self._ledger.state.records.get(job)
        if record is None or record.spec is None:
            return [job]
        return members_of(record.spec)

    def _refusal_of(self, spec: TaskSpec) -> NotRun | None:
        if not self._shared.fleet.fits_in_cell(spec):
            return NotRun(Refusal.IMPOSSIBLE, "no worker of the cell could hold it")
        limit = self._policy().limits.get(spec.id.team, ZERO)
        if not spec.resources.times(spec.members).fits(limit):
            return NotRun(Refusal.OVER_LIMIT, "the team's upper limit is lower")
        return self._shared.admission.admit(spec, self._now_ms())

    def _take_or_decline(self, origin: str, job: OfferedJob) -> None:
        fits = self._shared.planner.ever_fits
        if not all(fits(spec) for spec in job.specs):
            now_ms = self._now_ms()
            declined = NotRun(Refusal.IMPOSSIBLE, "no worker of the shard fits")
            self._dispatcher.commit(
                [Tombstoned(spec.id, declined, now_ms) for spec in job.specs]
            )
            return
        self._shared.admission.readmit(job.specs[0], self._now_ms())
        new_pending = self._shared.queue.new_pending
        self._accept(
            [
                Accepted(spec, job.accepted_at_ms, origin, job.attempt)
                for spec in job.specs
            ],
            [
                new_pending(spec, job.accepted_at_ms)._replace(
                    next_attempt=job.attempt + 1
                )
                for spec in job.specs
            ],
        )

    def _accept(self, events: list[Event], new_tasks: Sequence[PendingTask]) -> None:
        """Accept and place in one journal entry, so an urgent task costs one write."""
        if not events:
            return
        self._ledger.stage(events)
        planner = self._shared.planner
        fitting = [task for task in new_tasks if planner.ever_fits(task.spec)]
        not_fitting = [task for task in new_tasks if not planner.ever_fits(task.spec)]
        decisions: list[Decision] = planner.place_now(fitting, self._now_ms())
        decisions += [Overflow(task.spec.id) for task in not_fitting]
        self._dispatcher.commit(self._dispatcher.decide(decisions))
        self._report_demand({task.spec.id.team for task in new_tasks})

    async def _reply_to(self, spec: TaskSpec) -> SubmitReply:
        await self._ledger.until_durable(spec.id)
        record = self._ledger.state.records.get(spec.id)
        if record is None:
            return Unknown("the record is over its retention time")
        if isinstance(record.outcome, NotRun):
            return record.outcome
        if not _same_request(record.spec, spec):
            return NotRun(Refusal.ID_REUSED, "an equal id came with other fields")
        return Admitted(spec.id)

    def _now_ms(self) -> int:
        return to_millis(self._shared.clock.now())


def _same_request(known: TaskSpec | None, repeated: TaskSpec) -> bool:
    """Compare all fields but the deadline, which is relative to the submission."""
    if known is None:
        return False
    return known._replace(start_by_ms=0) == repeated._replace(start_by_ms=0)
