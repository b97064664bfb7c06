"""Applies workers' reports of active, ended, vanished and stalled runs."""

from __future__ import annotations

from collections.abc import Sequence

from savorylead.jobs import Run, RunState, Task
from savorylead.pools import (
    Ended,
    EndedRun,
    Finding,
    Listed,
    PaceController,
    PoolWorker,
    RunEnd,
    UnknownRun,
    Vanished,
    failures_of,
    note_reported,
    stalled_runs,
    urgent_queues,
)
from savorylead_daemon.observability import EventLog
from savorylead_daemon.settings import LogLevel

from ._pool_state import PoolState
from ._progress_log import ProgressLog
from ._run_starter import RunStarter
from ._worker_session import WorkerSession


class ReportProcessor:
    """Updates jobs and workers according to workers' reports."""

    def __init__(
        self,
        state: PoolState,
        starter: RunStarter,
        progress: ProgressLog,
        log: EventLog,
    ) -> None:
        self._state = state
        self._starter = starter
        self._progress = progress
        self._log = log
        self._pace = PaceController()

    def apply(self, session: WorkerSession, findings: Sequence[Finding]) -> None:
        """Apply the findings of one report."""
        worker = session.worker
        worker.unknown_runs = 0
        self._state.planner.durations.note_incarnation(
            worker.id, worker.answering_incarnation_ms
        )
        for finding in findings:
            if isinstance(finding, Listed):
                self._listed(finding)
            elif isinstance(finding, Ended):
                self._ended(worker, finding)
            elif isinstance(finding, Vanished):
                self.record_lost(finding.run, "vanished")
            else:
                self._handle_unknown_run(session, finding)
        self._note_in_service(worker)
        self._stop_stalled(session)
        self._adjust_pace(session)

    def _adjust_pace(self, session: WorkerSession) -> None:
        for order in self._pace.decide(session.worker, self._state.now_ms()):
            self._log.log_event(
                LogLevel.INFO,
                "pace",
                worker=session.worker.id,
                task_name=str(order.run.task.name),
                percent=order.percent,
            )
            session.pace.send(order.run, order.percent)

    def _listed(self, finding: Listed) -> None:
        run, active = finding.run, finding.active
        now_ms = self._state.now_ms()
        if not run.confirmed_at_ms:
            run.confirmed_at_ms = now_ms
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
            self._starter.mark_started(run.task.step.job)
        note_reported(run, now_ms)
        if active.percent != run.percent:
            run.percent = active.percent
            run.percent_at_ms = now_ms
            run.unreported_ms = 0
        run.load = active.load
        step = run.task.step
        if active.checkpoint and step.spec.checkpoints and not _is_behind_partner(run):
            for task in step.tasks if step.spec.gang else [run.task]:
                task.checkpoint = active.checkpoint

    def _ended(self, worker: PoolWorker, finding: Ended) -> None:
        ended = finding.ended
        task = self._state.jobs.task(ended.task)
        was_done = task is not None and task.done
        if finding.run is not None:
            if _is_behind_partner(finding.run):
                ended = ended._replace(checkpoint="")
            won = ended.outcome is RunEnd.DONE and not was_done
            self._starter.free(finding.run, won)
            self._record_stop(finding.run, ended)
        if task is None:
            return
        job = task.step.job
        queue = self._state.queues.get(job.record.queue)
        self._state.jobs.apply_end(task, ended, queue, self._state.now_ms())
        self._log.log_event(
            LogLevel.INFO,
            "task_end",
            job=job.id,
            task_name=str(ended.task),
            run=ended.number,
            worker=worker.id,
            outcome=ended.outcome.value,
            stop_reason="" if finding.run is None else finding.run.stop_reason,
            **_copy_details(finding.run),
        )
        if ended.outcome is RunEnd.DONE:
            worker.note_done(task.step, self._state.now_ms())
            self._record_duration(finding.run)
        elif ended.outcome is RunEnd.FAILED:
            self._record_failed(worker, task, finding.run)
        if ended.outcome is not RunEnd.DONE and finding.run is not None:
            self._starter.stop_rest_of_gang(finding.run, "gang_broken")
        self._progress.schedule_write(job, urgent=job.final is not None)
        self._starter.stop_unneeded(job)

    def _record_failed(self, worker: PoolWorker, task: Task, run: Run | None) -> None:
        now_ms = self._state.now_ms()
        is_quarantined = worker.note_failed(task.step, run, now_ms)
        failures = failures_of(task.step)
        self._log.log_event(
            LogLevel.INFO,
            "worker_rested" if is_quarantined else "failure_weighed",
            worker=worker.id,
            step=task.step.name,
            began_ms_ago=now_ms - run.sent_at_ms if run is not None else None,
            failed_on=len(failures.failed_on),
            step_was_done=failures.was_done,
            failed_in_row=worker.failures.failed_runs(),
            for_ms=max(0, worker.failures.quarantined_until_ms - now_ms),
        )

    def _note_in_service(self, worker: PoolWorker) -> None:
        failed_before = worker.failures.failed_runs()
        worker.note_report(self._state.now_ms())
        failed = worker.failures.failed_runs()
        if failed < failed_before:
            self._log.log_event(
                LogLevel.INFO,
                "failures_outlived",
                worker=worker.id,
                failed_before=failed_before,
                failed_in_row=failed,
                for_ms=max(
                    0, worker.failures.quarantined_until_ms - self._state.now_ms()
                ),
            )

    def _record_stop(self, run: Run, ended: EndedRun) -> None:
        if ended.outcome is RunEnd.STOPPED and run.stopped_at_ms:
            took_ms = self._state.now_ms() - run.stopped_at_ms
            self._state.planner.run_ends.observe_stop(took_ms)

    def _record_duration(self, run: Run | None) -> None:
        """Record the duration of a task that ran uninterrupted from its beginning."""
        if run is None or not run.confirmed_at_ms or run.adopted or run.resumed:
            return
        spec = run.task.step.spec
        if spec.gang or spec.fills or spec.long_running:
            return
        worker = self._state.workers[run.worker]
        if worker.is_cold(run.confirmed_at_ms):
            # Neither the worker's usual speed nor the queue's usual duration.
            return
        took_ms = self._state.now_ms() - run.confirmed_at_ms
        durations = self._state.planner.durations
        # Compared with the step's tasks elsewhere where they are known, so that a step
        # that takes long by itself does not make its workers count as slow.
        expected_ms = durations.elsewhere_ms(run.task.step, run.worker)
        durations.observe(run.task.step, run.worker, took_ms)
        if worker.note_duration(took_ms / expected_ms, self._state.now_ms()):
            self._log.log_event(LogLevel.INFO, "worker_slow", worker=worker.id)

    def record_lost(self, run: Run, reason: str) -> None:
        """Record that a run is over without a report of its end."""
        self._log.log_event(
            LogLevel.INFO,
            "task_end",
            job=run.task.step.job.id,
            task_name=str(run.task.name),
            run=run.number,
            worker=run.worker,
            outcome=reason,
            stop_reason=run.stop_reason,
            **_copy_details(run),
        )
        if run.copy_reason and reason != "vanished":
            run.task.has_lost_copy = True
        self._starter.free(run)
        self._starter.stop_rest_of_gang(run, "gang_broken")

    def _handle_unknown_run(self, session: WorkerSession, finding: UnknownRun) -> None:
        """Adopt an earlier lead's run, or mark the worker if its task is unknown."""
        active = finding.active
        worker = session.worker
        task = self._state.jobs.task(active.task)
        if task is None:
            # Its record may not be read yet; until then its resources are unknown.
            worker.unknown_runs += 1
            return
        former = task.run
        is_earlier = former is not None and former.number < active.number
        if former is not None and is_earlier and former.is_only_recorded:
            # No lead starts a run before the previous one of the task is over.
            self._state.free(former)
        run = Run(task, active.number, worker.id, self._state.now_ms())
        run.adopted = True
        run.confirmed_at_ms = self._state.now_ms()
        run.last_reported_at_ms = run.confirmed_at_ms
        run.state = RunState.RUNNING
        run.percent = active.percent
        task.last_run = max(task.last_run, active.number)
        self._state.hold(worker, run)
        job = task.step.job
        self._starter.mark_started(job)
        if self._state.planner.policy.copy_share > 0 and task.may_have_copy:
            # A former lead started both, or this one restarted a task that ran still.
            task.add_copy(run, "adopted")
        elif task.run is not None or task.done or job.final is not None:
            session.stop_run(run, "not_needed")
            return
        else:
            task.run = run
        if (
            active.checkpoint
            and task.step.spec.checkpoints
            and not _is_behind_partner(run)
        ):
            task.checkpoint = active.checkpoint
        self._log.log_event(
            LogLevel.INFO,
            "run_adopted",
            job=job.id,
            task_name=str(active.task),
            run=active.number,
            worker=worker.id,
            **_copy_details(run),
        )

    def _stop_stalled(self, session: WorkerSession) -> None:
        now_ms = self._state.now_ms()
        planner = self._state.planner
        urgent = urgent_queues(planner.policy, self._state.queues.values())
        for run in stalled_runs(session.worker, planner.durations, now_ms, urgent):
            self._starter.log_start(run, "stalled", percent=run.percent)
            session.worker.note_stalled(run, now_ms)
            run.task.step.has_stalled = True
            session.stop_run(run, "stalled")


def _copy_details(run: Run | None) -> dict[str, object]:
    """Return the details that log lines have for copies alone."""
    return {"copy": True} if run is not None and run.copy_reason else {}


def _is_behind_partner(run: Run) -> bool:
    """Return whether the other run of the task has made more progress."""
    task = run.task
    other = task.run if run is task.copy else task.copy
    return other is not None and other.percent > run.percent
