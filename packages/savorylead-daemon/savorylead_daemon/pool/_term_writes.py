"""Transactions that are conditional on the lead's term."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from twisted.internet.defer import CancelledError

from savorylead.pools import CellStore, Committed, Conflict, Put

from ._term import Term


class TermWrites:
    """Commits transactions on condition that this daemon still leads the pool."""

    def __init__(
        self, store: CellStore, term: Term, on_superseded: Callable[[], None]
    ) -> None:
        self._store = store
        self._term = term
        self._on_superseded = on_superseded

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
            own = result.current.get(term.key)
            if own is None or own.revision != term.revision:
                self._on_superseded()
                raise CancelledError
        return result
