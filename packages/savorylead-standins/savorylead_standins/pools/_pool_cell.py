"""A whole cell of pool daemons on stand-ins, in simulated time."""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from savorylead.clock import TwistedClock
from savorylead.jobs import JobSpec, JobState, StepSpec
from savorylead.pools import (
    Advice,
    AdviceCost,
    AdviserError,
    CellDocument,
    ConfigDecodeError,
    ConfigSource,
    Pool,
    Queue,
    SchedulingPolicy,
    Team,
    WorkerEntry,
    WorkerListing,
)
from savorylead.resources import Resources
from savorylead.store import KeyValue, StoreError
from savorylead_daemon.http import JsonRequest, JsonResponse
from savorylead_daemon.observability import EventLog
from savorylead_daemon.pool import AdapterParts, CallerAnswer, CallerCall, CallerCodec
from savorylead_daemon.pool.node import (
    JobStoreRequest,
    LeadReply,
    LeaseEndRequest,
    Machine,
    MemberRecord,
    Message,
    NodeSettings,
    PeerAdviceRequest,
    PeerCalls,
    PeerError,
    PoolNode,
    advice_of,
)
from savorylead_standins.time import SteppedTime

from ._memory_adviser import MemoryAdviser, TicketIssuer
from ._memory_cell_store import MemoryCellStore, StoreView
from ._memory_workers import MemoryWorkers
from ._workers_view import WorkersView

OPERATORS_PREFIX = "operators/"
CONFIG_KEY = OPERATORS_PREFIX + "config"
EVACUATION_PREFIX = OPERATORS_PREFIX + "evacuated/"
WORKERS_PREFIX = "workers/"
KEY = "team-key"
#: One-way delay between two daemons.
PEER_DELAY = timedelta(milliseconds=1)
#: Timeout of a call to a daemon.
PEER_TIMEOUT = timedelta(milliseconds=500)
#: Time from a worker's crash until its entry lapses: three heartbeats of 1.5 s.
ENTRY_LAPSES_AFTER = timedelta(seconds=4.5)
#: Response time over a saturated link. It is below the 400 ms after which daemons time
#: out a store call or a connection attempt, so that the lease there is still renewed.
SATURATED_RESPONSE_TIME = timedelta(milliseconds=300)


class _Config(ConfigSource):
    prefix = OPERATORS_PREFIX
    key = CONFIG_KEY
    evacuation_prefix = EVACUATION_PREFIX

    def decode(self, value: bytes) -> CellDocument:
        try:
            return msgspec.json.decode(value, type=CellDocument)
        except msgspec.DecodeError as exc:
            raise ConfigDecodeError(str(exc)) from exc


class _Listing(WorkerListing):
    prefix = WORKERS_PREFIX

    def decode(self, item: KeyValue) -> WorkerEntry | None:
        return msgspec.json.decode(item.value, type=WorkerEntry)


class _Codec(CallerCodec):
    """Encodes calls and answers as JSON arrays."""

    ready_path = "/ready"

    def read(self, request: JsonRequest) -> CallerCall | None:
        return msgspec.json.decode(request.body, type=CallerCall)

    def is_job_id(self, text: str) -> bool:
        return bool(text)

    def decode_job(self, body: bytes) -> JobSpec:
        return msgspec.json.decode(body, type=JobSpec)

    def write(self, answer: CallerAnswer) -> JsonResponse:
        return JsonResponse(200, msgspec.json.encode(answer))


class _Peers(PeerCalls):
    """Calls other nodes of the same cell; calls to a node that is down fail."""

    def __init__(self, cell: PoolCell, name: str) -> None:
        self._cell = cell
        self._name = name
        #: Addresses whose only connection, over a saturated link, is busy with a call.
        self._in_use: set[str] = set()

    async def send_message(self, address: str, message: Message) -> LeadReply:
        node = await self._reach(address)
        return await node.peer_server.answer(message)

    async def send_request(
        self, address: str, asked: JobStoreRequest | LeaseEndRequest
    ) -> bool:
        node = await self._reach(address)
        try:
            return (await node.peer_server.answer(asked)).done
        except StoreError as exc:
            raise PeerError(str(exc)) from exc

    async def advise(self, address: str, asked: PeerAdviceRequest) -> Advice:
        try:
            node = await self._reach(address)
        except PeerError as exc:
            raise AdviserError(str(exc)) from exc
        return advice_of(await node.peer_server.answer(asked))

    async def _reach(self, address: str) -> PoolNode:
        cell = self._cell
        await cell.clock.sleep(PEER_DELAY)
        node = cell.nodes.get(address)
        if node is None or frozenset({self._name, address}) in cell.cut_pairs:
            await cell.clock.sleep(cell.connect_wait)
            raise PeerError(
                "connection failed: the node is down or cut off",
                sent=False,
                connected=False,
            )
        if address in cell.mute:
            await cell.clock.sleep(PEER_TIMEOUT)
            raise PeerError("no reply before the timeout")
        if address in cell.saturated:
            await self._reach_over_saturated_link(address)
        return node

    async def _reach_over_saturated_link(self, address: str) -> None:
        cell = self._cell
        if address in self._in_use:
            # The call would need a second connection, which can't be opened.
            await cell.clock.sleep(cell.connect_wait)
            raise PeerError("connection attempt timed out", sent=False, connected=False)
        self._in_use.add(address)
        try:
            await cell.clock.sleep(SATURATED_RESPONSE_TIME)
        finally:
            self._in_use.discard(address)


def job_spec(count: int = 1, cores: float = 1.0, **changes: Any) -> JobSpec:
    """Return a job with one step."""
    step = StepSpec(
        count, Resources(int(cores * 1000), 100, 0), estimate_ms=1_000
    )._replace(**changes)
    return JobSpec("payload", (step,))


def in_turn(steps: int, count: int) -> JobSpec:
    """Return a job with equal steps, each dependent on the previous one."""
    step = job_spec(count).steps[0]
    after = [step._replace(after=(number - 1,)) for number in range(1, steps)]
    return JobSpec("payload", (step, *after))


class PoolCell:
    """A cell of named nodes with one or more pools, and calls of its callers."""

    def __init__(
        self,
        nodes: int = 3,
        workers: int = 4,
        pools: tuple[str, ...] = ("pool",),
        cores: int = 8,
        advised: bool = False,
        limit: Resources = Resources(),  # noqa: B008 - immutable.
        seed: int = 1,
        machines: Mapping[str, Machine] | None = None,
        domains: tuple[str, ...] = ("zone",),
        policy: SchedulingPolicy = SchedulingPolicy(),  # noqa: B008 - immutable.
    ) -> None:
        """``machines`` gives the machine of each node, by node name.

        Workers are in the failure domains ``domains`` by turns.
        """
        self.time = SteppedTime()
        self.clock = TwistedClock(self.time, datetime(2026, 1, 1, tzinfo=UTC))
        self.rng = random.Random(seed)
        self.store = MemoryCellStore(self.clock)
        self.workers = MemoryWorkers(self.clock)
        self.workers.on_crash = self._expire_entry
        self.workers.on_return = self.list_worker
        self.tickets = TicketIssuer(self.clock, self._incarnation_start_ms)
        if advised:
            self.workers.ticket_accepted = self.tickets.accepts
        self.views: dict[str, StoreView] = {}
        self.nodes: dict[str, PoolNode] = {}
        #: Nodes that can't connect to each other.
        self.cut_pairs: set[frozenset[str]] = set()
        #: Node names and worker addresses that can't reach each other: calls and their
        #: responses are lost.
        self.cut_from_workers: set[tuple[str, str]] = set()
        #: Nodes that accept connections but do not respond.
        self.mute: set[str] = set()
        #: Nodes behind a saturated link: they respond late on the one connection that
        #: each other node has, and further connection attempts are dropped.
        self.saturated: set[str] = set()
        #: Time until a connection attempt fails: zero if the process ended, as the
        #: machine refuses at once; longer if the machine is without power.
        self.connect_wait = timedelta(0)
        self.machines = dict(machines or {})
        self._policy = policy
        self._advised = advised
        self._answers: dict[str, CallerAnswer] = {}
        self.document = self._document(pools, limit, advised)
        self.put_config(self.document)
        for number in range(workers):
            domain = domains[number % len(domains)]
            self._add_worker(number, pools[number % len(pools)], cores, domain)
        for number in range(nodes):
            self.start_node(f"node-{number}")

    def start_node(self, name: str) -> None:
        """Start or restart a node."""
        view = self.views.setdefault(name, StoreView(self.store))
        log = EventLog(self.clock, 1)
        adapter = AdapterParts(
            store=view,
            workers=WorkersView(
                self.workers,
                self.clock,
                lambda address: (name, address) in self.cut_from_workers,
            ),
            adviser=self._adviser(),
            config=_Config(),
            listing=_Listing(),
            callers=_Codec(),
        )
        incarnation = f"{self.rng.getrandbits(64):x}"
        settings = NodeSettings(
            MemberRecord(name, incarnation, name),
            key_withdrawn=timedelta(seconds=5),
            status_for=timedelta(seconds=120),
            machine=self.machines.get(name, Machine()),
            policy=self._policy,
        )
        node = PoolNode(
            settings, adapter, _Peers(self, name), self.clock, self.rng, log
        )
        self.nodes[name] = node
        node.start()

    def _adviser(self) -> MemoryAdviser | None:
        return MemoryAdviser(self.clock, self.tickets) if self._advised else None

    def kill(self, name: str) -> None:
        """Stop a node immediately, without a shutdown notice to other nodes."""
        self.nodes.pop(name).stop()

    def lead_of(self, pool: str = "pool") -> str:
        """Return the name of the node that leads a pool."""
        return next(n for n, node in self.nodes.items() if pool in node.leads)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.time.advance(seconds)

    def put_config(self, document: CellDocument) -> None:
        """Write the cell's configuration, as the operator does."""
        self.document = document
        self.store.put(CONFIG_KEY, msgspec.json.encode(document))

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        """Order a failure domain to be evacuated, as the operator does."""
        self.store.put(EVACUATION_PREFIX + domain, value)

    def end_evacuation(self, domain: str) -> None:
        """Take the order back."""
        self.store.delete(EVACUATION_PREFIX + domain)

    def list_worker(self, entry: WorkerEntry) -> None:
        """Write a worker's registration to the store."""
        self.store.put(WORKERS_PREFIX + entry.id, msgspec.json.encode(entry))

    def _expire_entry(self, entry: WorkerEntry) -> None:
        """Delete a crashed worker's entry once it lapses, if it has not returned."""

        def delete() -> None:
            machine = self.workers.machines[entry.id]
            if machine.is_cut or machine.is_replaced:
                self.store.delete(WORKERS_PREFIX + entry.id)

        self.clock.call_later(ENTRY_LAPSES_AFTER, delete)

    # -- callers --

    def submit(self, job_id: str, spec: JobSpec, via: str = "node-0") -> None:
        """Submit a job; ``answer`` returns the answer once it was received."""
        self.call("submit", f"/q/{job_id}", via, self.encode(spec), job_id)

    def encode(self, spec: JobSpec) -> bytes:
        """Return a job as a caller encodes it."""
        return msgspec.json.encode(spec)

    def cancel(self, job_id: str, via: str = "node-0") -> None:
        """Cancel a job."""
        self.call("cancel", f"/q/{job_id}", via, b"", f"cancel {job_id}")

    def state(self, job_id: str, via: str = "node-0") -> JobState | None:
        """Query a job's state and advance 0.5 s for the answer."""
        self.call("state", f"/q/{job_id}", via, b"", f"state {job_id}")
        self.run(0.5)
        answer = self._answers.pop(f"state {job_id}", None)
        return None if answer is None else answer.state

    def answer(self, name: str) -> CallerAnswer | None:
        """Return the answer to a submission (by job id) or to "cancel ID"."""
        return self._answers.get(name)

    def call(
        self, kind: str, path: str, via: str, body: bytes, name: str, key: str = KEY
    ) -> None:
        """Send one call to a node."""
        node = self.nodes[via]
        call = CallerCall(kind, "host", path, key, 3_000, body)
        request = JsonRequest("POST", path, {}, {}, msgspec.json.encode(call))
        answering = Deferred.fromCoroutine(node.gateway.handle(request))
        answering.addCallback(self._note_answer, name)

    def _note_answer(self, response: JsonResponse, name: str) -> None:
        self._answers[name] = msgspec.json.decode(response.body, type=CallerAnswer)

    # -- the cell --

    def _document(
        self, pools: tuple[str, ...], limit: Resources, advised: bool
    ) -> CellDocument:
        advice = AdviceCost(20.0, 0.0, 2_000) if advised else None
        queues = tuple(
            Queue(
                name=f"q-{pool}",
                host="host",
                prefix="/q/" if pool == pools[0] else f"/{pool}/",
                pool=pool,
                priority=0,
                max_attempts=2,
                stretch=2.0,
                objective_ms=1_000,
                anonymous=False,
                advice=advice,
            )
            for pool in pools
        )
        return CellDocument(
            version=1,
            queues=queues,
            pools=tuple(Pool(pool, False, False) for pool in pools),
            teams=(Team("team", frozenset({KEY}), 1_000.0, limit),),
            max_body_bytes=100_000,
        )

    def _incarnation_start_ms(self, worker: str) -> int:
        machine = self.workers.machines.get(worker)
        return 0 if machine is None else machine.entry.incarnation_start_ms

    def _add_worker(self, number: int, pool: str, cores: int, domain: str) -> None:
        entry = WorkerEntry(
            id=f"w{number}",
            pool=pool,
            address=f"w{number}",
            zone=domain,
            capacity=Resources(cores * 1000, 64_000, 0),
            labels=("a", f"r{number % 2}"),
            rack=f"r{number % 2}",
            accepting=True,
            incarnation_start_ms=1,
        )
        self.workers.add(entry)
        self.list_worker(entry)
