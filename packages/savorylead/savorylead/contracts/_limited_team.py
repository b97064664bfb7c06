"""What a lead remembers of one team's limit between decisions."""

from __future__ import annotations

from collections.abc import Mapping

from savorylead.resources import ZERO, Resources

from ._escrowed_limit import EscrowedLimit
from ._limit_policy import GrantChoice, GrantView, missing
from ._limit_record import Want, greater, lesser
from ._team_limits import UNLIMITED

#: Window after which what stayed unused throughout is given back in part.
IDLE_WINDOW_MS = 30_000
#: Window over which small unused amounts must last before others get them.
FLICKER_WINDOW_MS = 2_000
#: How long a lowered limit waits for shards to give back what is idle before it
#: is divided among them.
TRIM_WAIT_MS = 5_000


class LimitedTeam:
    """One team in one shard: its escrowed limit, its demand, and since when."""

    def __init__(self, limit: EscrowedLimit, shard: str) -> None:
        self.limit = limit
        #: What waiting tasks ask for beyond what is held.
        self.wanted = ZERO
        #: Unix time in milliseconds since which something is lacking; 0 if not.
        self.refused_since_ms = 0
        #: Unix time in milliseconds at which the limit was first seen exceeded.
        self.exceeded_since_ms = 0
        #: Whether another shard wrote the record since it was read here.
        self.is_stale = False
        self._shard = shard
        self._own_hint = False
        self._held = ZERO
        self._progress_at_ms = 0
        self._idle: Resources | None = None
        self._idle_since_ms = 0
        self._low = ZERO
        self._previous_low = ZERO
        self._low_since_ms = 0

    def set_wanted(self, wanted: Resources, now_ms: int) -> None:
        """Note the demand; one that sinks shows that something started."""
        if not self.wanted.fits(wanted):
            self._progress_at_ms = now_ms
        self.wanted = wanted

    def view(
        self,
        held: Resources,
        room: Resources,
        others: Mapping[str, Want],
        now_ms: int,
    ) -> GrantView:
        """Return what a decision depends on, and note what has changed."""
        if held != self._held:
            self._held = held
            self._progress_at_ms = now_ms
        refused_since_ms = self.refused_since_ms or now_ms
        base = self.limit.base
        wanted = lesser(self.wanted, room)
        unused = greater(base.minus(held.plus(wanted)), ZERO)
        return GrantView(
            shard=self._shard,
            record=self.limit.current_record(),
            assured=base,
            held=held,
            wanted=wanted,
            others=others,
            stuck_since_ms=max(refused_since_ms, self._progress_at_ms),
            spare=self._lasting(unused, now_ms),
            idle=None,
            now_ms=now_ms,
        )

    def _lasting(self, unused: Resources, now_ms: int) -> Resources:
        """Return what was unused for one to two windows up to now."""
        if now_ms - self._low_since_ms >= FLICKER_WINDOW_MS:
            self._previous_low = self._low
            self._low = unused
            self._low_since_ms = now_ms
        self._low = lesser(self._low, unused)
        return lesser(self._low, self._previous_low)

    def note_refusal(self, view: GrantView) -> None:
        """Remember since when something is lacking, after an attempt to get it."""
        if not any(missing(view)):
            self.refused_since_ms = 0
        elif not self.refused_since_ms:
            self.refused_since_ms = view.now_ms

    def with_idle(self, view: GrantView) -> GrantView:
        """Add what stayed unused for a whole window, once that is over."""
        unused = view.assured.minus(view.held.plus(view.wanted))
        unused = greater(unused, ZERO)
        if self._idle is None:
            self._idle = unused
            self._idle_since_ms = view.now_ms
        self._idle = lesser(self._idle, unused)
        if view.now_ms - self._idle_since_ms < IDLE_WINDOW_MS:
            return view
        return view._replace(idle=self._idle)

    def end_idle_window(self) -> None:
        """Begin another window if the last one is over and was acted upon."""
        self._idle = None

    def expect_own_hint(self, expected: bool) -> None:
        """Say whether the next hint of a change may come from the own write."""
        self._own_hint = expected

    def hint(self) -> None:
        """Note that a watch told of a change of the record."""
        if self._own_hint:
            self._own_hint = False
        else:
            self.is_stale = True

    def waited_for_trims(self, view: GrantView) -> bool:
        """Return whether a lowered limit was waited for long enough."""
        if view.record.fully_in_force():
            self.exceeded_since_ms = 0
            return False
        self.exceeded_since_ms = self.exceeded_since_ms or view.now_ms
        return view.now_ms - self.exceeded_since_ms >= TRIM_WAIT_MS

    def needs_write(self, view: GrantView, choice: GrantChoice, settle: bool) -> bool:
        """Return whether the record should be written for this choice."""
        limit = self.limit
        if choice.target != view.assured:
            return True
        if limit.current_record() is not limit.record:
            # A limit without grants is written too, so that operators can be
            # told that it is in force.
            return True
        if view.record.fully_in_force():
            return any(view.wanted) and not limit.claimed
        grant = view.record.grants.get(self._shard)
        if grant is not None and grant.trimmed_revision < view.record.config_revision:
            return True
        return settle and not view.record.allotments

    def lacking(self, view: GrantView) -> Resources:
        """Return what is missing in the dimensions that have a limit."""
        return Resources(
            *(
                0 if bound >= UNLIMITED else amount
                for amount, bound in zip(missing(view), view.record.limit, strict=True)
            )
        )

    def excess(self, held: Resources) -> Resources:
        """Return what is held above the allotment of a lowered limit."""
        allotment = self.limit.record.allotments.get(self._shard)
        if allotment is None:
            return ZERO
        return greater(held.minus(allotment), ZERO)
