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
    ABSENT,
    MAX_VALUE_BYTES,
    RetryPolicy,
    Store,
    StoreError,
    SwapConflict,
)

from ._check import check_document
from ._diff import DocumentChange, diff_documents
from ._document import CellDocument
from ._stored_config import (
    CONFIG_FORMAT,
    CONFIG_KEY,
    RECENT_EDITS,
    RECENT_PATHS,
    ConfigHead,
    EditRecord,
    decode_head,
    document_key,
    encode_document,
    encode_head,
    read_document,
)

#: Pause before the head is read again when its document was just replaced.
_REPLACED_PAUSE = timedelta(milliseconds=10)
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


class _Stored(NamedTuple):
    """The configuration as it was read."""

    head: ConfigHead
    document: CellDocument
    revision: int


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
        stored = await self._read()
        if stored is None:
            return EditView({}, 0)
        return EditView(stored.document, stored.revision)

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
        elif isinstance(result, EditConflict):
            # The head never has the expected revision again, so no late copy of this
            # change can name its document.
            await self._delete(document_key(name, encode_document(raw)))
        return result

    async def _try(
        self, document: CellDocument, expected: int, edit: str, by: str
    ) -> EditApplied | EditConflict | EditRejected:
        """Read, then swap; the read finds what an earlier try has done."""
        stored = await self._read()
        if (stored.revision if stored else 0) != expected:
            return await self._judge(stored, document, expected, edit)
        value = encode_document(document)
        if len(value) > MAX_VALUE_BYTES:
            message = f"{len(value)} bytes are over the limit of {MAX_VALUE_BYTES}"
            return EditRejected((DocumentFault("$", message),))
        key = document_key(edit, value)
        # A conflict means that an earlier try has written the same document.
        await self._store.swap(key, value, ABSENT)
        head = self._next_head(stored, document, key, edit, by)
        result = await self._store.swap(CONFIG_KEY, encode_head(head), expected)
        if isinstance(result, SwapConflict):
            return await self._judge(await self._read(), document, expected, edit)
        if stored is not None:
            # The former one is there only if its writer had no reply to its change.
            await self._delete(stored.head["former"])
            await self._delete(stored.head["document"])
        return EditApplied(result.revision)

    async def _read(self) -> _Stored | None:
        """Return the configuration in the store, or None if there is none."""
        while True:
            item = await self._store.get(CONFIG_KEY)
            if item is None:
                return None
            head = decode_head(item)
            document = await read_document(self._store, head)
            if document is not None:
                return _Stored(head, document, item.revision)
            # Another change replaced it between the two reads.
            await self._clock.sleep(_REPLACED_PAUSE)

    async def _delete(self, key: str) -> None:
        """Delete a document that no head names any more, if the store lets us."""
        try:
            item = await self._store.get(key)
            if item is not None:
                await self._store.swap(key, None, item.revision)
        except StoreError:
            return

    def _next_head(
        self,
        stored: _Stored | None,
        document: CellDocument,
        key: str,
        edit: str,
        by: str,
    ) -> ConfigHead:
        changes = diff_documents(stored.document if stored else {}, document)
        record = EditRecord(
            edit=edit,
            replaced=stored.revision if stored else 0,
            at=self._clock.now().isoformat(),
            by=by,
            paths=[change.path for change in changes[:RECENT_PATHS]],
        )
        recent = stored.head["recent"] if stored else []
        kept = [*recent, record][-RECENT_EDITS:]
        former = stored.head["document"] if stored else ""
        return ConfigHead(
            format=CONFIG_FORMAT, document=key, former=former, recent=kept
        )

    async def _judge(
        self, stored: _Stored | None, document: CellDocument, expected: int, edit: str
    ) -> EditApplied | EditConflict:
        """Return what a store with another revision than ``expected`` means."""
        if stored is None:
            return EditConflict(0, document, (), ())
        recent = stored.head["recent"]
        revisions = [record["replaced"] for record in recent[1:]] + [stored.revision]
        for record, revision in zip(recent, revisions, strict=True):
            if record["edit"] == edit:
                return EditApplied(revision)
        since = tuple(record for record in recent if record["replaced"] >= expected)
        difference = diff_documents(stored.document, document)
        return EditConflict(stored.revision, stored.document, since, tuple(difference))
