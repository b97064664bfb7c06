"""The workers of one shard, by the platform's list of VMs and by their replies."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from savorylead.contracts import TaskSpec
from savorylead.domains import Shard
from savorylead.placement import Planner
from savorylead.resources import ZERO
from savorylead.workers import VmEntry, Worker, WorkerState

from ._worker_session import Contact, WorkerSession


class ShardFleet:
    """Holds one session per worker and updates the planner with their states."""

    def __init__(
        self,
        shard: Shard,
        planner: Planner,
        open_session: Callable[[Worker], WorkerSession],
    ) -> None:
        self._shard = shard
        self._planner = planner
        self._open_session = open_session
        self._sessions: dict[str, WorkerSession] = {}
        self._states: dict[str, WorkerState] = {}
        self._leaving: set[str] = set()
        self._listed: set[str] = set()
        self._quarantined: set[str] = set()
        #: Every worker of the cell, to refuse tasks that fit on none of them.
        self._all_workers: tuple[Worker, ...] = ()

    def __iter__(self) -> Iterator[WorkerSession]:
        return iter(list(self._sessions.values()))

    def session(self, worker: str) -> WorkerSession | None:
        """Return the session of a worker of this shard."""
        return self._sessions.get(worker)

    def state(self, worker: str) -> WorkerState:
        """Return the worker state that was last passed to the planner."""
        return self._states.get(worker, WorkerState.UNREACHABLE)

    def is_leaving(self, worker: str) -> bool:
        """Return whether the platform lists the worker's VM as leaving."""
        return worker in self._leaving

    def apply_vm_list(self, entries: Sequence[VmEntry]) -> list[WorkerSession]:
        """Apply a list of VMs; return the sessions whose VM is newly leaving."""
        self._all_workers = tuple(entry.worker for entry in entries)
        ours = [e for e in entries if self._shard.contains(e.worker)]
        self._listed = {entry.worker.name for entry in ours}
        newly_leaving = []
        for entry in ours:
            session = self.ensure(entry.worker)
            name = entry.worker.name
            if entry.leaving and name not in self._leaving:
                self._leaving.add(name)
                newly_leaving.append(session)
            elif not entry.leaving:
                self._leaving.discard(name)
            self.refresh(session)
        return newly_leaving

    def ensure(self, worker: Worker) -> WorkerSession:
        """Return the worker's session; open one if there is none."""
        session = self._sessions.get(worker.name)
        if session is not None and session.worker == worker:
            return session
        if session is not None:
            session.close()
        session = self._open_session(worker)
        self._sessions[worker.name] = session
        self._states[worker.name] = WorkerState.UNREACHABLE
        self._planner.put_worker(worker, WorkerState.UNREACHABLE)
        session.begin()
        return session

    def ensure_by_name(self, name: str) -> WorkerSession:
        """Return a session for a worker that may no longer be listed.

        If the worker does not reply, its tasks are reconciled once its lease expires.
        """
        session = self._sessions.get(name)
        if session is not None:
            return session
        return self.ensure(Worker(name, self._shard.domain, "", ZERO))

    def quarantine(self, worker: str, quarantined: bool) -> None:
        """Set whether a worker on which tasks fail is quarantined from new work."""
        if quarantined:
            self._quarantined.add(worker)
        else:
            self._quarantined.discard(worker)
        session = self._sessions.get(worker)
        if session is not None:
            self.refresh(session)

    def refresh(self, session: WorkerSession) -> None:
        """Update the planner if the worker's state has changed."""
        name = session.worker.name
        state = self._judge(session)
        if self._states.get(name) is not state:
            self._states[name] = state
            self._planner.put_worker(session.worker, state)

    def drop_if_gone(self, session: WorkerSession) -> None:
        """Drop a worker whose lease has expired and that is no longer listed."""
        name = session.worker.name
        if session.contact is not Contact.LOST or name in self._listed:
            return
        session.close()
        del self._sessions[name]
        self._states.pop(name, None)
        self._leaving.discard(name)
        self._quarantined.discard(name)
        self._planner.drop_worker(name)

    def fits_in_cell(self, spec: TaskSpec) -> bool:
        """Return whether the task fits on some worker of the cell when it is empty."""
        if not self._all_workers:
            return True
        return any(spec.resources.fits(worker.capacity) for worker in self._all_workers)

    def close(self) -> None:
        """Close every session."""
        for session in self:
            session.close()

    def _judge(self, session: WorkerSession) -> WorkerState:
        name = session.worker.name
        if session.contact is not Contact.HEARD:
            return WorkerState.UNREACHABLE
        if name in self._leaving or not session.accepting:
            return WorkerState.DRAINING
        if name in self._quarantined:
            return WorkerState.QUARANTINED
        return WorkerState.READY
