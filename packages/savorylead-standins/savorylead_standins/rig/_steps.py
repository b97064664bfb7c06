"""The faults and planned changes of a rig run, one class each."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from twisted.internet.defer import Deferred, DeferredList

from savorylead.clock import to_millis

from ._http_caller import CallFailedError
from ._observer import NO_RETRY, CellObserver
from ._real_cell import RealCell
from ._savoryctl import Savoryctl
from ._steady_load import LoadStream, batch_draft
from ._task_drafts import TaskDrafts, WorkPlace

#: Long polls that are open at a daemon when it is told to stop.
OPEN_POLLS = 8
POLL_WAIT = timedelta(seconds=25)


#: Time between two looks for a lead.
LEAD_POLL_S = 0.3


def busiest_lead(leads: Sequence[str]) -> str | None:
    """Return the name that leads most shards, the first of equals, None if none does.

    ``leads`` has the lead of each shard; "" stands for a shard without one.
    """
    counts = Counter(name for name in leads if name)
    return max(sorted(counts), key=lambda name: counts[name], default=None)


class StepParts(NamedTuple):
    """What a step acts on."""

    cell: RealCell
    observer: CellObserver
    savoryctl: Savoryctl
    drafts: TaskDrafts
    batch: WorkPlace
    services: WorkPlace


class Step(ABC):
    """One thing that befalls the cell under load."""

    #: Name in the table.
    name: str

    def __init__(self, parts: StepParts) -> None:
        self._parts = parts
        self._cell = parts.cell
        self._observer = parts.observer

    @abstractmethod
    async def run(self) -> None:
        """Let it happen, and return once the cell had time to recover."""

    async def _sleep(self, seconds: float) -> None:
        await self._cell.clock.sleep(timedelta(seconds=seconds))

    async def _a_lead(self) -> str:
        """Return the daemon that leads the most shards, the first by name.

        While no shard has a lead, as during an election, the next one is waited for.
        """
        operator = self._cell.open_operator()
        try:
            while True:
                answer = await operator.call("GET", "/v1/operators/shards")
                lead = busiest_lead([shard["lead"] for shard in answer["shards"]])
                if lead is not None:
                    return lead
                await self._sleep(LEAD_POLL_S)
        finally:
            operator.close()

    async def _busiest_worker(self) -> str:
        histories = await self._cell.ask_platform("workers", "/admin/executions")
        return max(histories, key=lambda worker: len(worker["running"]))["worker"]

    def _restart(self, name: str) -> None:
        self._observer.note_restart(name)
        self._cell.start_daemon(name)
        self._cell.note(f"{name} started again")


class KillDaemon(Step):
    """Kills a lead with SIGKILL and starts it again under its name."""

    name = "kill -9 and restart"

    async def run(self) -> None:
        """Kill, wait for the takeover, restart."""
        name = await self._a_lead()
        child = self._cell.processes.daemons[name]
        child.signal("KILL")
        self._cell.note(f"{name}, a lead, killed with SIGKILL")
        await child.ended
        await self._sleep(8)
        self._restart(name)
        await self._sleep(5)


class PauseDaemon(Step):
    """Stops a lead for longer than its lease and lets it go on."""

    name = "SIGSTOP 12 s, SIGCONT"

    async def run(self) -> None:
        """Pause beyond the lease, resume."""
        name = await self._a_lead()
        child = self._cell.processes.daemons[name]
        child.signal("STOP")
        self._cell.note(f"{name}, a lead, stopped with SIGSTOP")
        await self._sleep(12)
        child.signal("CONT")
        self._cell.note(f"{name} goes on by SIGCONT")
        await self._sleep(5)


class StopDaemon(Step):
    """Stops a lead by SIGTERM while callers wait for answers there."""

    name = "SIGTERM with long polls"

    async def run(self) -> None:
        """Open long polls, stop, and start the daemon again."""
        name = await self._a_lead()
        polls = [Deferred.fromCoroutine(self._poll(name, n)) for n in range(OPEN_POLLS)]
        await self._sleep(1)
        child = self._cell.processes.daemons[name]
        child.signal("TERM")
        self._cell.note(f"{name}, a lead, told to stop with SIGTERM")
        code = await child.ended
        self._cell.note(f"{name} ended with exit code {code}")
        if code:
            self._observer.note_cut_off(f"{name} ended with exit code {code}")
        await DeferredList(polls)
        await self._sleep(1)
        self._restart(name)
        await self._sleep(5)

    async def _poll(self, name: str, number: int) -> None:
        """Wait at the one daemon for a service, which does not end."""
        place = self._parts.services
        waiting = [
            task.request
            for task in self._cell.recorder.unanswered()
            if task.request.startswith("services")
        ]
        key = self._cell.keys[place.team]
        caller = self._cell.open_caller(key, {name: self._cell.endpoints()[name]})
        names = [{"workspace": place.workspace, "request": r} for r in waiting]
        content = {"requests": names, "wait_s": POLL_WAIT.total_seconds()}
        try:
            await caller.call("POST", "/v1/answers", content, POLL_WAIT, NO_RETRY)
        except CallFailedError as exc:
            self._observer.note_cut_off(f"long poll {number} at {name}: {exc}")
        finally:
            caller.close()


class RefuseStoreCalls(Step):
    """Lets the store refuse every call for half a minute."""

    name = "store refuses for 30 s"

    async def run(self) -> None:
        """Take the store down, and wait until the backlog has gone."""
        await self._cell.tell_platform("store", "/admin/faults", {"down_s": 30})
        self._cell.note("the store refuses every call")
        await self._sleep(30)
        self._cell.note("the store answers again")
        await self._sleep(10)


class CrashVm(Step):
    """Restarts the VM with the most work; everything on it is lost."""

    name = "VM crash"

    async def run(self) -> None:
        """Crash it."""
        worker = await self._busiest_worker()
        await self._cell.tell_platform(
            "workers", f"/admin/workers/{worker}", {"crash": True}
        )
        self._cell.note(f"{worker} crashed")
        await self._sleep(6)


class LeaveVm(Step):
    """Lets the VM with the most work leave; only the lagging list tells so."""

    name = "VM leaving"

    async def run(self) -> None:
        """Mark it, and look whether it gets work after the allowed time."""
        worker = await self._busiest_worker()
        await self._cell.tell_platform(
            "workers", f"/admin/workers/{worker}", {"listed_leaving": True}
        )
        self._observer.note_departure(worker)
        self._cell.note(f"{worker} is leaving")
        await self._sleep(16)


class WithdrawKey(Step):
    """Grants a key, uses it, and withdraws it while it is in use."""

    name = "key withdrawn"

    async def run(self) -> None:
        """Go on to use the key beyond the time that withdrawal may take."""
        place = self._parts.batch
        savoryctl = self._parts.savoryctl
        granted = await savoryctl.run("keys", "grant", place.team)
        await savoryctl.run("wait-in-force", str(granted["revision"]))
        caller = self._cell.open_caller(granted["key"])
        stream = LoadStream(
            self._cell,
            self._parts.drafts,
            "granted",
            place,
            batch_draft,
            granted["key"],
            caller,
        )
        stream.run_every(timedelta(milliseconds=200), tasks=1)
        await self._sleep(3)
        withdrawn = await savoryctl.run("keys", "withdraw", granted["key_id"])
        self._observer.note_withdrawal(granted["key"])
        self._observer.note_revision(withdrawn["revision"])
        self._cell.note(f"key {granted['key_id']} withdrawn")
        await self._sleep(8)
        await stream.stop()
        caller.close()
        refused = stream.failures[401] + stream.failures[403]
        self._cell.note(f"{refused} calls with the withdrawn key refused")


class ApplyConfiguration(Step):
    """Raises a limit by a file, as an operator does, and waits until it is in force."""

    name = "configuration applied"

    def __init__(self, parts: StepParts, limit: dict[str, int]) -> None:
        """Take the new ``limit`` of the team of the batch work."""
        super().__init__(parts)
        self._limit = limit

    async def run(self) -> None:
        """Show, edit, apply and wait."""
        savoryctl = self._parts.savoryctl
        team = self._parts.batch.team
        shown = await savoryctl.run("config", "show")
        document = shown["document"]
        document["teams"][team]["limit"] = self._limit
        path = Path(self._cell.processes.folder.name, "configuration.json")
        path.write_text(json.dumps(document))
        sent_at_ms = to_millis(self._cell.clock.now())
        applied = await savoryctl.run(
            "config", "apply", str(path), "--expect-revision", str(shown["revision"])
        )
        self._observer.note_revision(applied["revision"])
        self._observer.note_limit(team, self._limit, sent_at_ms)
        accepted = self._cell.elapsed_s()
        self._cell.note(
            f"limit of {team} sent at {sent_at_ms}, accepted by "
            f"{to_millis(self._cell.clock.now())}"
        )
        await savoryctl.run("wait-in-force", str(applied["revision"]))
        waited = self._cell.elapsed_s() - accepted
        self._cell.note(
            f"revision {applied['revision']} in force everywhere after {waited:.1f} s"
        )
        await self._sleep(6)
