"""An operator that retries each configuration change until it is accepted."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from datetime import timedelta

from savorylead.config import (
    CONFIG_KEY,
    CellDocument,
    KeyDocument,
    decode_document,
    decode_head,
    hash_key,
)
from savorylead.contracts import limit_from_amounts
from savorylead.store import StoreError
from savorylead_daemon.services import ConfigApplied, OperatorService, RefusedError
from savorylead_standins.cell import OPERATOR_KEY
from savorylead_standins.checkers import KeyWithdrawal, LimitChange

from ._balancer import LoadBalancer
from ._faulty_cell import FaultyCell

#: Mean delay before a change is retried.
RETRY_DELAY = timedelta(seconds=2)
#: Interval at which the store is polled for an accepted configuration.
POLL_INTERVAL = timedelta(milliseconds=100)

Change = Callable[[CellDocument], None]


class RecordingOperator:
    """Changes the configuration through any daemon and records accepted changes."""

    def __init__(self, cell: FaultyCell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self._load_balancer = LoadBalancer(cell, rng)
        self._revision = 0
        self._limits: dict[str, object] = {}

    def begin(self) -> None:
        """Start recording the configurations that the store accepts."""
        self._poll()

    def change(
        self, change: Change, on_accepted: Callable[[], None] = lambda: None
    ) -> None:
        """Apply an idempotent change, retrying until it is accepted."""
        self._cell.do(self._change(change), lambda _: on_accepted())

    def withdraw(self, team: str, key: str) -> None:
        """Withdraw a key of a team."""
        accepted = self._cell.history.withdrawals

        def note() -> None:
            accepted.append(KeyWithdrawal(key, self._cell.now_ms()))

        self.change(lambda document: _withdraw(document, team, key), note)

    async def _change(self, change: Change) -> None:
        while not await self._try(change):
            await self._cell.clock.sleep(RETRY_DELAY * (0.5 + self._rng.random()))

    async def _try(self, change: Change) -> bool:
        try:
            result = await self._load_balancer.call(
                "operate", lambda daemon: _apply(daemon.operators, change)
            )
        except (RefusedError, StoreError):
            return False
        if not isinstance(result, ConfigApplied):
            return False
        accepted = self._cell.history.revisions_accepted
        accepted.setdefault(result.revision, self._cell.now_ms())
        return True

    def _poll(self) -> None:
        item = self._cell.store.get(CONFIG_KEY)
        if item is not None and item.revision != self._revision:
            self._revision = item.revision
            written = self._cell.store.get(decode_head(item)["document"])
            self._note(decode_document(written))
        self._cell.clock.call_later(POLL_INTERVAL, self._poll)

    def _note(self, document: CellDocument) -> None:
        now_ms = self._cell.now_ms()
        history = self._cell.history
        for team, entry in sorted(document["teams"].items()):
            limit = limit_from_amounts(entry["limit"])
            if self._limits.get(team) != limit:
                self._limits[team] = limit
                history.limits.append(LimitChange(team, limit, now_ms, now_ms))


async def _apply(operators: OperatorService, change: Change) -> object:
    view = await operators.read_config(OPERATOR_KEY)
    document = copy.deepcopy(view.document)
    change(document)
    return await operators.apply_config(OPERATOR_KEY, document, view.revision)


def add_key(document: CellDocument, team: str, key: str) -> None:
    """Grant a team another key, unless it was withdrawn already."""
    entry = KeyDocument(
        sha256=hash_key(key), granted_at="2026-01-01T00:00:00+00:00", withdrawn=False
    )
    document["teams"][team]["keys"].setdefault(_id_of(key), entry)


def _withdraw(document: CellDocument, team: str, key: str) -> None:
    add_key(document, team, key)
    document["teams"][team]["keys"][_id_of(key)]["withdrawn"] = True


def _id_of(key: str) -> str:
    return key.partition(".")[0]
