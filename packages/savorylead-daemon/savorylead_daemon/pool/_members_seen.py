"""How long members have been in view, and which are gone from it."""

from __future__ import annotations

from datetime import datetime, timedelta

from savorylead.clock import Clock

from ._candidates import Machine
from ._cell_view import CellView, MemberRecord

#: Daemons that an outage of the store ended are back by then after the first one: calls
#: to the store are given up after a second and repeated 150 ms later.
BACK_WITHIN = timedelta(seconds=3)
#: A member that is gone is forgotten after this. Outages were at most 10 s long; a
#: machine that is gone for longer may be gone for good.
KEPT = timedelta(seconds=60)


class MembersSeen:
    """Remembers what views of the cell showed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registered_at = clock.now()
        #: When each member came into view.
        self._since: dict[MemberRecord, datetime] = {}
        #: Machines of all members, also of those that are gone.
        self._machines: dict[str, Machine] = {}
        self._gone_at: dict[str, datetime] = {}

    def note(self, view: CellView) -> None:
        """Take note of a view that may have changed."""
        now = self._clock.now()
        members = view.members.values()
        self._since = {m: self._since.get(m, now) for m in members}
        for name in view.members:
            self._machines[name] = view.machines.get(name, Machine())
        for name in self._machines.keys() - view.members.keys():
            if now - self._gone_at.setdefault(name, now) >= KEPT:
                del self._gone_at[name], self._machines[name]
        for name in self._gone_at.keys() & view.members.keys():
            del self._gone_at[name]

    def note_registered(self) -> None:
        """Take note that this daemon registered anew, as others may do now."""
        self._registered_at = self._clock.now()

    def visible_for(self, least: timedelta) -> set[str]:
        """Return the names of members that have been in view for this long."""
        now = self._clock.now()
        return {m.name for m, since in self._since.items() if now - since >= least}

    def may_come_back(self) -> dict[str, Machine]:
        """Return the machines of members that are gone, and may soon be back."""
        now = self._clock.now()
        return {
            name: self._machines[name]
            for name, gone_at in sorted(self._gone_at.items())
            if now - max(gone_at, self._registered_at) < BACK_WITHIN
        }
