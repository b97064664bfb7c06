"""Changing the configuration by one compare-and-swap."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from savorylead.clock import Clock
from savorylead.documents import DocumentFault
from savorylead.store import (
    MAX_VALUE_BYTES,
    KeyValue,
    RetryPolicy,
    Store,
    StoreError,
    SwapConflict,
)

from ._check import check_document
from ._diff import DocumentChange, diff_documents
from ._document import CellDocument
from ._envelope import (
    CONFIG_FORMAT,
    CONFIG_KEY,
    RECENT_EDITS,
    RECENT_PATHS,
    EditRecord,
    Envelope,
    decode_envelope,
    encode_envelope,
)

#: Longest time for which the fate of a change is sought.
EDIT_DEADLINE = timedelta(seconds=8)


class EditView(NamedTuple):
    """What an operator is about to change."""

    document: CellDocument
    #: To be expected by the change.
    revision: int


@dataclass(frozen=True)
class EditApplied:
    """The change is accepted."""

    revision: int


@dataclass(frozen=True)
class EditConflict:
    """Another change came first; nothing was written."""

    #: The revision in the store.
    revision: int
    #: The document in the store.
    document: CellDocument
    #: The changes since the expected revision, oldest first, as far as remembered.
    since: tuple[EditRecord, ...]
    #: How the refused document differs from the one in the store.
    difference: tuple[DocumentChange, ...]


@dataclass(frozen=True)
class EditRejected:
    """The document is not valid; nothing was written."""

    faults: tuple[DocumentFault, ...]


class EditUncertainError(Exception):
    """The store did not tell in time whether the change took effect.

    It may still take effect. Applying it again with the same edit id tells.
    """

    def __init__(self, edit: str, expected_revision: int) -> None:
        super().__init__(f"edit {edit} of revision {expected_revision} is not settled")
        self.edit = edit
        self.expected_revision = expected_revision


class ConfigEditor:
    """Replaces the document if it still has the revision that the operator saw.

    ``on_applied`` is called with the new revision before ``apply`` returns, so that
    the daemon that accepted a change never reports a lower revision afterwards.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        on_applied: Callable[[int], None],
        deadline: timedelta = EDIT_DEADLINE,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._retry = RetryPolicy(clock, rng)
        self._on_applied = on_applied
        self._deadline = deadline

    async def read(self) -> EditView:
        """Return the newest document in the store; raises StoreError.

        Its revision is 0 and it is empty if none was ever written.
        """
        current = await self._store.get(CONFIG_KEY)
        if current is None:
            return EditView({}, 0)
        return EditView(decode_envelope(current)["document"], current.revision)

    async def apply(
        self,
        raw: object,
        expected_revision: int,
        by: str = "",
        edit: str = "",
    ) -> EditApplied | EditConflict | EditRejected:
        """Replace the document; an expected revision of 0 writes the first one.

        ``edit`` names the change, so that a repeat is applied once; it is drawn if
        it is empty. Raises EditUncertainError.
        """
        faults = check_document(raw)
        if faults:
            return EditRejected(tuple(faults))
        name = edit or f"{self._rng.getrandbits(64):016x}"
        give_up_at = self._clock.now() + self._deadline
        pauses = self._retry.begin()
        while True:
            try:
                result = await self._try(raw, expected_revision, name, by)
                break
            except StoreError as exc:
                if self._clock.now() >= give_up_at:
                    raise EditUncertainError(name, expected_revision) from exc
                await pauses.wait()
        if isinstance(result, EditApplied):
            self._on_applied(result.revision)
        return result

    async def _try(
        self, document: CellDocument, expected: int, edit: str, by: str
    ) -> EditApplied | EditConflict | EditRejected:
        """Read, then swap; the read finds what an earlier try has done."""
        current = await self._store.get(CONFIG_KEY)
        revision = current.revision if current else 0
        if revision != expected:
            return _judge(current, document, expected, edit)
        value = encode_envelope(self._envelope(current, document, edit, by))
        if len(value) > MAX_VALUE_BYTES:
            message = f"{len(value)} bytes are over the limit of {MAX_VALUE_BYTES}"
            return EditRejected((DocumentFault("$", message),))
        result = await self._store.swap(CONFIG_KEY, value, expected)
        if isinstance(result, SwapConflict):
            return _judge(result.current, document, expected, edit)
        return EditApplied(result.revision)

    def _envelope(
        self, current: KeyValue | None, document: CellDocument, edit: str, by: str
    ) -> Envelope:
        before = decode_envelope(current) if current else None
        recent = before["recent"] if before else []
        changes = diff_documents(before["document"] if before else {}, document)
        record = EditRecord(
            edit=edit,
            replaced=current.revision if current else 0,
            at=self._clock.now().isoformat(),
            by=by,
            paths=[change.path for change in changes[:RECENT_PATHS]],
        )
        kept = [*recent, record][-RECENT_EDITS:]
        return Envelope(format=CONFIG_FORMAT, recent=kept, document=document)


def _judge(
    current: KeyValue | None, document: CellDocument, expected: int, edit: str
) -> EditApplied | EditConflict:
    """Return what a store with another revision than ``expected`` means."""
    if current is None:
        return EditConflict(0, document, (), ())
    envelope = decode_envelope(current)
    recent = envelope["recent"]
    revisions = [record["replaced"] for record in recent[1:]] + [current.revision]
    for record, revision in zip(recent, revisions, strict=True):
        if record["edit"] == edit:
            return EditApplied(revision)
    since = tuple(record for record in recent if record["replaced"] >= expected)
    difference = diff_documents(envelope["document"], document)
    return EditConflict(
        current.revision, envelope["document"], since, tuple(difference)
    )
