"""Transactions that are conditional on the lead's term, and proofs of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from twisted.internet.defer import CancelledError

from savorylead.pools import CellStore, Committed, Conflict, Put
from savorylead.store import KeyValue

from ._term import Term


class TermWrites:
    """Commits transactions on condition that this daemon still leads the pool."""

    def __init__(
        self, store: CellStore, term: Term, on_superseded: Callable[[], None]
    ) -> None:
        self._store = store
        self._term = term
        self._on_superseded = on_superseded

    async def prove(self) -> None:
        """Return if the term is not over at some moment during the call.

        If it is, notifies the lead and raises CancelledError. Raises StoreError.
        """
        self._check(await self._store.get(self._term.key))

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Commit all changes or none; the term's key is expected besides ``expected``.

        A returned Conflict concerns ``expected``, for example after a write whose
        answer was lost. If the term is over, notifies the lead and raises
        CancelledError, since the store would reject any later write of the lead.
        """
        term = self._term
        result = await self._store.commit(
            {term.key: term.revision, **expected}, puts, deletes
        )
        if isinstance(result, Conflict):
            self._check(result.current.get(term.key))
        return result

    def _check(self, own: KeyValue | None) -> None:
        if own is None or own.revision != self._term.revision:
            self._on_superseded()
            raise CancelledError
