"""State of one team's limit in one shard, kept between grant decisions."""

from __future__ import annotations

from collections.abc import Mapping

from savorylead.resources import ZERO, Resources

from ._escrowed_limit import EscrowedLimit
from ._limit_policy import GrantChoice, GrantView, unmet_demand
from ._limit_record import Want, elementwise_max, elementwise_min
from ._team_limits import UNLIMITED

#: Amounts unused throughout this window are released in part.
IDLE_WINDOW_MS = 30_000
#: Small amounts must stay unused for this window before other shards get them.
RECENT_WINDOW_MS = 2_000
#: Time that shards have to release unused grants before a lowered limit is divided
#: among them.
TRIM_WAIT_MS = 5_000


class LimitedTeam:
    """One team in one shard: its escrowed limit and the history of its demand."""

    def __init__(self, limit: EscrowedLimit, shard: str) -> None:
        self.limit = limit
        #: Demand of waiting tasks beyond what is held.
        self.wanted = ZERO
        #: Unix time in milliseconds since which demand is unmet; 0 if it is met.
        self.unmet_since_ms = 0
        #: Unix time in milliseconds since which a lowered limit is exceeded; 0 if not.
        self.exceeded_since_ms = 0
        #: Whether another shard has written the record since the last read.
        self.is_stale = False
        self._shard = shard
        self._own_event_expected = False
        self._held = ZERO
        self._progress_at_ms = 0
        self._idle_min: Resources | None = None
        self._idle_since_ms = 0
        self._window_min = ZERO
        self._previous_window_min = ZERO
        self._window_start_ms = 0

    def set_wanted(self, wanted: Resources, now_ms: int) -> None:
        """Set the demand; a decrease counts as progress, since a task started."""
        if not self.wanted.fits(wanted):
            self._progress_at_ms = now_ms
        self.wanted = wanted

    def view(
        self,
        held: Resources,
        free_capacity: Resources,
        others: Mapping[str, Want],
        now_ms: int,
    ) -> GrantView:
        """Return the input of a decision, and record whether ``held`` has changed."""
        if held != self._held:
            self._held = held
            self._progress_at_ms = now_ms
        unmet_since_ms = self.unmet_since_ms or now_ms
        base = self.limit.base
        wanted = elementwise_min(self.wanted, free_capacity)
        unused = elementwise_max(base.minus(held.plus(wanted)), ZERO)
        return GrantView(
            shard=self._shard,
            record=self.limit.current_record(),
            assured=base,
            held=held,
            wanted=wanted,
            others=others,
            no_progress_since_ms=max(unmet_since_ms, self._progress_at_ms),
            recently_unused=self._recently_unused(unused, now_ms),
            idle=None,
            now_ms=now_ms,
        )

    def _recently_unused(self, unused: Resources, now_ms: int) -> Resources:
        """Return the amount unused throughout the last one to two windows."""
        if now_ms - self._window_start_ms >= RECENT_WINDOW_MS:
            self._previous_window_min = self._window_min
            self._window_min = unused
            self._window_start_ms = now_ms
        self._window_min = elementwise_min(self._window_min, unused)
        return elementwise_min(self._window_min, self._previous_window_min)

    def update_unmet_since(self, view: GrantView) -> None:
        """Update the time since which demand is unmet; call after a write attempt."""
        if not any(unmet_demand(view)):
            self.unmet_since_ms = 0
        elif not self.unmet_since_ms:
            self.unmet_since_ms = view.now_ms

    def with_idle(self, view: GrantView) -> GrantView:
        """Add the amount unused for a whole idle window, once that has ended."""
        unused = view.assured.minus(view.held.plus(view.wanted))
        unused = elementwise_max(unused, ZERO)
        if self._idle_min is None:
            self._idle_min = unused
            self._idle_since_ms = view.now_ms
        self._idle_min = elementwise_min(self._idle_min, unused)
        if view.now_ms - self._idle_since_ms < IDLE_WINDOW_MS:
            return view
        return view._replace(idle=self._idle_min)

    def end_idle_window(self) -> None:
        """Begin another idle window."""
        self._idle_min = None

    def expect_own_event(self, expected: bool) -> None:
        """Set whether the next watch event may be due to this shard's own write."""
        self._own_event_expected = expected

    def on_record_changed(self) -> None:
        """Handle a watch event: the record has changed."""
        if self._own_event_expected:
            self._own_event_expected = False
        else:
            self.is_stale = True

    def trim_wait_expired(self, view: GrantView) -> bool:
        """Return whether a lowered limit was exceeded for TRIM_WAIT_MS."""
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
            # A limit without grants is written too, so that operators see that it
            # is in force.
            return True
        if view.record.fully_in_force():
            return any(view.wanted) and not limit.claimed
        grant = view.record.grants.get(self._shard)
        if grant is not None and grant.trimmed_revision < view.record.config_revision:
            return True
        return settle and not view.record.allotments

    def unmet_limited_demand(self, view: GrantView) -> Resources:
        """Return the unmet demand in the dimensions that have a limit."""
        return Resources(
            *(
                0 if bound >= UNLIMITED else amount
                for amount, bound in zip(
                    unmet_demand(view), view.record.limit, strict=True
                )
            )
        )

    def excess(self, held: Resources) -> Resources:
        """Return the amount held above the allotment of a lowered limit."""
        allotment = self.limit.record.allotments.get(self._shard)
        if allotment is None:
            return ZERO
        return elementwise_max(held.minus(allotment), ZERO)
