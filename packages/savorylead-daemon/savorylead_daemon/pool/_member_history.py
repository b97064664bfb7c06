"""How long members have been in view, and which have left it."""

from __future__ import annotations

from datetime import datetime, timedelta

from savorylead.clock import Clock

from ._candidates import Machine
from ._cell_view import CellView, MemberRecord

#: Daemons register again within this time of the first one after an outage of the
#: store: calls to the store time out after a second and are retried 150 ms later.
RETURN_WITHIN = timedelta(seconds=3)
#: Time after which a missing member is forgotten. Outages lasted up to 10 s; a machine
#: that is missing for longer may not come back.
FORGET_AFTER = timedelta(seconds=60)


class MemberHistory:
    """Records when members came into the view of the cell and left it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registered_at = clock.now()
        #: When each member came into view.
        self._since: dict[MemberRecord, datetime] = {}
        #: Machines of all members, including missing ones.
        self._machines: dict[str, Machine] = {}
        self._gone_at: dict[str, datetime] = {}

    def note(self, view: CellView) -> None:
        """Record the members of a view that may have changed."""
        now = self._clock.now()
        members = view.members.values()
        self._since = {m: self._since.get(m, now) for m in members}
        for name in view.members:
            self._machines[name] = view.machines.get(name, Machine())
        for name in self._machines.keys() - view.members.keys():
            if now - self._gone_at.setdefault(name, now) >= FORGET_AFTER:
                del self._gone_at[name], self._machines[name]
        for name in self._gone_at.keys() & view.members.keys():
            del self._gone_at[name]

    def note_registered(self) -> None:
        """Record that this daemon registered again, as others may do now."""
        self._registered_at = self._clock.now()

    def visible_for(self, least: timedelta) -> set[str]:
        """Return the names of members that have been in view for at least ``least``."""
        now = self._clock.now()
        return {m.name for m, since in self._since.items() if now - since >= least}

    def may_return(self) -> dict[str, Machine]:
        """Return the machines of missing members that may come back soon."""
        now = self._clock.now()
        return {
            name: self._machines[name]
            for name, gone_at in sorted(self._gone_at.items())
            if now - max(gone_at, self._registered_at) < RETURN_WITHIN
        }
