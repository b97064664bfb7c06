"""What a lead writes, for as long as its term lasts."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from twisted.internet.defer import CancelledError

from savorylead.pools import CellStore, Committed, Conflict, Put

from ._term import Term


class TermWrites:
    """Makes transactions that expect that this daemon still leads the pool."""

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
        """Make all changes or none; ``expected`` is beside the key of the term.

        A Conflict is one of ``expected``, as after a write whose answer was lost. If
        the term is over, this says so to the lead and raises CancelledError: nothing
        that a task of the lead could write later would be taken.
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
