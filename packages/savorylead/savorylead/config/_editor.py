"""Replaces the configuration by a single compare-and-swap."""

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
    MAX_PATHS_PER_EDIT,
    MAX_RECENT_EDITS,
    ConfigHead,
    EditRecord,
    decode_head,
    document_key,
    encode_document,
    encode_head,
    read_document,
)

#: Pause before the head is reread when its document was replaced during the read.
_REREAD_DELAY = timedelta(milliseconds=10)
#: Time after which a change whose outcome is still unknown is reported as uncertain.
EDIT_DEADLINE = timedelta(seconds=8)


class EditView(NamedTuple):
    """The stored document and its revision, as the base of an edit."""

    document: CellDocument
    #: The expected revision to pass to ``apply``.
    revision: int


@dataclass(frozen=True)
class EditApplied:
    """The change was accepted."""

    revision: int


@dataclass(frozen=True)
class EditConflict:
    """The stored revision is not the expected one; the configuration is unchanged."""

    #: The revision in the store.
    revision: int
    #: The document in the store.
    document: CellDocument
    #: The changes since the expected revision, oldest first; the head records only the
    #: latest MAX_RECENT_EDITS.
    since: tuple[EditRecord, ...]
    #: Changes from the stored document to the rejected one.
    difference: tuple[DocumentChange, ...]


@dataclass(frozen=True)
class EditRejected:
    """The document is invalid; nothing was written."""

    faults: tuple[DocumentFault, ...]


class EditUncertainError(Exception):
    """The outcome of the change could not be determined before the deadline.

    The change may still take effect. Applying it again with the same edit id
    determines the outcome.
    """

    def __init__(self, edit: str, expected_revision: int) -> None:
        super().__init__(
            f"outcome of edit {edit} at revision {expected_revision} is unknown"
        )
        self.edit = edit
        self.expected_revision = expected_revision


class _StoredConfig(NamedTuple):
    """The stored head, its document and their revision."""

    head: ConfigHead
    document: CellDocument
    revision: int


class ConfigEditor:
    """Replaces the document if the stored revision is the one that the operator read.

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

        If no configuration has been written, the document is empty and the revision 0.
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

        ``edit`` is an idempotency key: a repeated change is applied once. A random id
        is used if it is empty. Raises EditUncertainError.
        """
        faults = check_document(raw)
        if faults:
            return EditRejected(tuple(faults))
        edit_id = edit or f"{self._rng.getrandbits(64):016x}"
        deadline_at = self._clock.now() + self._deadline
        delays = self._retry.begin()
        while True:
            try:
                result = await self._attempt(raw, expected_revision, edit_id, by)
                break
            except StoreError as exc:
                if self._clock.now() >= deadline_at:
                    raise EditUncertainError(edit_id, expected_revision) from exc
                await delays.wait()
        if isinstance(result, EditApplied):
            self._on_applied(result.revision)
        elif isinstance(result, EditConflict):
            # The head can't return to the expected revision, so a delayed write of
            # this change can't make the head refer to its document.
            await self._delete(document_key(edit_id, encode_document(raw)))
        return result

    async def _attempt(
        self, document: CellDocument, expected_revision: int, edit: str, by: str
    ) -> EditApplied | EditConflict | EditRejected:
        """Read, then swap; the read detects a write of an earlier attempt."""
        stored = await self._read()
        if (stored.revision if stored else 0) != expected_revision:
            return await self._resolve_mismatch(
                stored, document, expected_revision, edit
            )
        value = encode_document(document)
        if len(value) > MAX_VALUE_BYTES:
            message = f"{len(value)} bytes are over the limit of {MAX_VALUE_BYTES}"
            return EditRejected((DocumentFault("$", message),))
        key = document_key(edit, value)
        # A conflict means that an earlier attempt has written the same document.
        await self._store.swap(key, value, ABSENT)
        head = self._next_head(stored, document, key, edit, by)
        result = await self._store.swap(
            CONFIG_KEY, encode_head(head), expected_revision
        )
        if isinstance(result, SwapConflict):
            return await self._resolve_mismatch(
                await self._read(), document, expected_revision, edit
            )
        if stored is not None:
            # The former document remains only if its editor got no reply to its swap
            # and so did not delete it.
            await self._delete(stored.head["former"])
            await self._delete(stored.head["document"])
        return EditApplied(result.revision)

    async def _read(self) -> _StoredConfig | None:
        """Return the configuration in the store, or None if there is none."""
        while True:
            item = await self._store.get(CONFIG_KEY)
            if item is None:
                return None
            head = decode_head(item)
            document = await read_document(self._store, head)
            if document is not None:
                return _StoredConfig(head, document, item.revision)
            # Another change replaced the document between the two reads.
            await self._clock.sleep(_REREAD_DELAY)

    async def _delete(self, key: str) -> None:
        """Delete a document that no head refers to; store errors are ignored."""
        try:
            item = await self._store.get(key)
            if item is not None:
                await self._store.swap(key, None, item.revision)
        except StoreError:
            return

    def _next_head(
        self,
        stored: _StoredConfig | None,
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
            paths=[change.path for change in changes[:MAX_PATHS_PER_EDIT]],
        )
        recent = stored.head["recent"] if stored else []
        latest = [*recent, record][-MAX_RECENT_EDITS:]
        former = stored.head["document"] if stored else ""
        return ConfigHead(
            format=CONFIG_FORMAT, document=key, former=former, recent=latest
        )

    async def _resolve_mismatch(
        self,
        stored: _StoredConfig | None,
        document: CellDocument,
        expected_revision: int,
        edit: str,
    ) -> EditApplied | EditConflict:
        """Return the outcome if the stored revision is not the expected one.

        The edit was applied by an earlier attempt if the head records its id.
        """
        if stored is None:
            return EditConflict(0, document, (), ())
        recent = stored.head["recent"]
        revisions = [record["replaced"] for record in recent[1:]] + [stored.revision]
        for record, revision in zip(recent, revisions, strict=True):
            if record["edit"] == edit:
                return EditApplied(revision)
        since = tuple(
            record for record in recent if record["replaced"] >= expected_revision
        )
        difference = diff_documents(stored.document, document)
        return EditConflict(stored.revision, stored.document, since, tuple(difference))
