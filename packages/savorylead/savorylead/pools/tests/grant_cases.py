"""A cell whose pools start and end tasks within their parts of one team's limit."""

from __future__ import annotations

import random
from typing import NamedTuple

from savorylead.pools import (
    BlockedTeam,
    GrantRecord,
    PoolDemand,
    PoolGrants,
    decode_grants,
    encode_grants,
)
from savorylead.resources import ZERO, Resources, total

from .pool_cases import queue

TEAM = "team"
#: Simulated time of one step, in milliseconds.
STEP_MS = 100
#: Longest time after which a lead reads what another one has written, in milliseconds.
MAX_READ_DELAY_MS = 800


class Piece(NamedTuple):
    """A task, or a whole gang, that starts at once or not at all."""

    amounts: Resources
    #: How long it runs, in milliseconds; None for ever.
    run_ms: int | None


class RunningPiece(NamedTuple):
    """A piece that was started."""

    piece: Piece
    began_ms: int

    def is_over(self, now_ms: int) -> bool:
        """Return whether it has ended."""
        run_ms = self.piece.run_ms
        return run_ms is not None and now_ms >= self.began_ms + run_ms


class PoolLeadCase:
    """One pool's lead: what waits and runs, and the record as it last read it."""

    def __init__(self, name: str, draw: random.Random) -> None:
        self.grants = PoolGrants(name)
        self.waiting: list[Piece] = []
        self.running: list[RunningPiece] = []
        self.seen_revision = 0
        self.read_at_ms = 0
        self._blocked_since_ms: int | None = None
        self._draw = draw

    @property
    def name(self) -> str:
        return self.grants.pool

    def held(self) -> Resources:
        """Return what the team's runs hold in this pool."""
        return total([run.piece.amounts for run in self.running])

    def lasting(self) -> Resources:
        """Return what runs hold that do not end by themselves."""
        return total([r.piece.amounts for r in self.running if r.piece.run_ms is None])

    def blocked(self, now_ms: int) -> dict[str, BlockedTeam]:
        """Return the team, if its limit blocks all that waits here."""
        if not self.waiting:
            self._blocked_since_ms = None
            return {}
        if self._blocked_since_ms is None:
            self._blocked_since_ms = now_ms
        pieces = [piece.amounts for piece in self.waiting]
        return {TEAM: BlockedTeam(pieces, self._blocked_since_ms)}

    def schedule_read(self, now_ms: int) -> None:
        """Read what another lead has written, after a drawn delay."""
        steps = self._draw.randrange(MAX_READ_DELAY_MS // STEP_MS)
        self.read_at_ms = now_ms + steps * STEP_MS

    def start_fitting(self, now_ms: int) -> list[Piece]:
        """Start the waiting pieces that fit, the first ones first."""
        started = []
        for piece in list(self.waiting):
            room = self.grants.headroom(TEAM, self.held())
            if room is None or piece.amounts.fits(room):
                self.waiting.remove(piece)
                self.running.append(RunningPiece(piece, now_ms))
                started.append(piece)
        if started:
            self._blocked_since_ms = now_ms
        return started


class GrantCell:
    """Pools that divide one limit; tasks run in simulated time."""

    def __init__(self, pools: int, limit: Resources, seed: int = 0) -> None:
        self._draw = random.Random(seed)
        self.leads = [
            PoolLeadCase(f"pool-{number}", self._draw) for number in range(pools)
        ]
        self.record = GrantRecord()
        self.revision = 0
        self.writes = 0
        self.now_ms = 1_000_000
        self.limit = limit
        for lead in self.leads:
            lead.grants.set_pools([each.name for each in self.leads])
            lead.grants.set_queues(
                [queue(each.name, 1, pool=each.name) for each in self.leads]
            )
        self.set_limit(limit)

    def set_limit(self, limit: Resources | None) -> None:
        """Change the limit for all leads at once; None removes it."""
        self.limit = limit if limit is not None else ZERO
        for lead in self.leads:
            lead.grants.set_limits({} if limit is None else {TEAM: limit})

    def send(self, pool: int, *pieces: Piece) -> None:
        """Submit work to a pool."""
        self.leads[pool].waiting.extend(pieces)

    def held(self) -> Resources:
        """Return what the team's runs hold in all pools."""
        return total([lead.held() for lead in self.leads])

    def granted(self) -> Resources:
        """Return the sum of all recorded grants."""
        parts = self.record.parts.get(TEAM, {})
        return total([Resources(*part.granted) for part in parts.values()])

    def is_within(self, amounts: Resources) -> bool:
        """Return whether amounts are within the limit, where it bounds them."""
        return all(
            amount <= bound
            for amount, bound in zip(amounts, self.limit, strict=True)
            if bound > 0
        )

    def run(self, for_ms: int) -> None:
        """Advance the time; fails if a start exceeds the limit."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.step()

    def step(self) -> None:
        """Let each lead act once, in a drawn order; fails if a start is excessive."""
        self.now_ms += STEP_MS
        for lead in self._draw.sample(self.leads, len(self.leads)):
            lead.running = [r for r in lead.running if not r.is_over(self.now_ms)]
            if self.now_ms >= lead.read_at_ms:
                lead.grants.record = self.record
                lead.seen_revision = self.revision
            if lead.start_fitting(self.now_ms):
                assert self.is_within(self.held()), (lead.name, self.held(), self.limit)
            self._update(lead)

    def _update(self, lead: PoolLeadCase) -> None:
        waiting = total([piece.amounts for piece in lead.waiting])
        demand = PoolDemand(
            {TEAM: lead.held()},
            {TEAM: waiting},
            lead.blocked(self.now_ms),
            {TEAM: lead.lasting()},
        )
        record = lead.grants.next_record(demand, self.now_ms)
        if record is None:
            return
        if lead.seen_revision != self.revision:
            # The write conflicts, and returns the current record.
            lead.read_at_ms = self.now_ms
            return
        self.record = decode_grants(encode_grants(record))
        self.revision += 1
        self.writes += 1
        lead.grants.record = self.record
        lead.seen_revision = self.revision
        for other in self.leads:
            if other is not lead:
                other.schedule_read(self.now_ms)
