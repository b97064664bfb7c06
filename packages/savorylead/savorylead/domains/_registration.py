"""Registration of a daemon: its key in the list of members, bound to a lease."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from savorylead.clock import Clock, Wakeup, to_millis
from savorylead.store import (
    ABSENT,
    RetryPolicy,
    Store,
    StoreError,
    StoreLeaseLostError,
    SwapConflict,
)

from ._domain import Member
from ._member_record import MemberRecord, decode_member, encode_member, member_key


class RegistrationSettings(NamedTuple):
    """Timing of a daemon's lease."""

    #: Duration of the lease; it restarts with each renewal.
    ttl: timedelta = timedelta(seconds=3)
    #: Time between two renewals.
    renewal: timedelta = timedelta(seconds=1)
    #: Time for which a new registration counts as unsettled.
    settling: timedelta = timedelta(seconds=30)
    #: Upper bound of that time after repeated lapses.
    settling_cap: timedelta = timedelta(minutes=10)


class Registration:
    """Keeps the daemon's key alive under a lease, and writes it again after a lapse.

    Each lapse doubles the time for which the daemon counts as unsettled, unless the
    registration lasted longer than twice the cap: then that time is reset. If another
    process of the same name has written the key, ``on_superseded`` is called once and
    the registration ends.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        retry: RetryPolicy,
        member: Member,
        on_superseded: Callable[[], None],
        settings: RegistrationSettings = RegistrationSettings(),  # noqa: B008
    ) -> None:
        #: Revision of this daemon's key; 0 while the key is not known to exist.
        self.revision = 0
        #: How often the lease has lapsed, for metrics.
        self.lapses = 0
        #: When the newest answered store call was sent; None before the first answer.
        self.answered_at: datetime | None = None
        self._store = store
        self._clock = clock
        self._retry = retry
        self._written_member = member
        self._on_superseded = on_superseded
        self._settings = settings
        self._lease_id = ""
        self._desired_member = member
        self._settled_at_ms = 0
        self._settling = settings.settling
        self._registered_at = clock.now()
        self._has_registered = False
        self._superseded = False
        self._wakeup = Wakeup(clock)
        self._task: Deferred[None] | None = None

    @property
    def member(self) -> Member:
        """The member as it should appear in the list."""
        return self._desired_member

    def start(self) -> None:
        """Start to register the daemon and to renew its lease."""
        self._task = Deferred.fromCoroutine(self._run())
        self._task.addErrback(_ignore_cancelled)

    def change(self, member: Member) -> None:
        """Update the member in the key at once, for example its ``leading``."""
        self._desired_member = member
        self._wakeup.wake()

    def observe(self, record: MemberRecord | None, revision: int) -> None:
        """Process this daemon's key as contained in a list at ``revision``.

        A missing key is written again; the key of a later process ends this
        registration.
        """
        if not self.revision or revision < self.revision:
            return
        if record is None:
            self.revision = 0
            self._wakeup.wake()
        elif record.member.incarnation != self._written_member.incarnation:
            self.stop()
            self._end_superseded()

    def registered_until(self) -> datetime | None:
        """Return when the lease may lapse at the earliest; None if not registered."""
        if self.answered_at is None or not self.revision:
            return None
        return self.answered_at + self._settings.ttl

    async def leave(self) -> None:
        """Stop and remove the daemon from the list; raises StoreError."""
        self.stop()
        lease_id, self._lease_id = self._lease_id, ""
        if lease_id:
            await self._store.revoke_lease(lease_id)

    def stop(self) -> None:
        """Stop renewing; the daemon leaves the list when the lease lapses."""
        self.revision = 0
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    async def _run(self) -> None:
        pauses = self._retry.begin()
        while True:
            try:
                if not self._lease_id:
                    await self._acquire_lease()
                if not self.revision or self._desired_member != self._written_member:
                    await self._write_key()
                if self._superseded:
                    return
                await self._wakeup.wait(self._settings.renewal)
                await self._renew()
                pauses = self._retry.begin()
            except StoreLeaseLostError:
                self._handle_lapse()
            except StoreError:
                await pauses.wait()

    async def _acquire_lease(self) -> None:
        sent_at = self._clock.now()
        self._lease_id = await self._store.grant_lease(self._settings.ttl)
        self.answered_at = sent_at
        self._registered_at = sent_at
        self._settled_at_ms = to_millis(sent_at + self._settling)

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        await self._store.renew_lease(self._lease_id)
        self.answered_at = sent_at

    def _handle_lapse(self) -> None:
        self.lapses += 1
        self.revision = 0
        self._lease_id = ""
        registered_for = self._clock.now() - self._registered_at
        if registered_for > 2 * self._settings.settling_cap:
            self._settling = self._settings.settling
        else:
            self._settling = min(2 * self._settling, self._settings.settling_cap)

    async def _write_key(self) -> None:
        """Write the key over any existing value, unless a later process wrote that."""
        member = self._desired_member
        key = member_key(member.name)
        record = MemberRecord(
            member, self._settled_at_ms, to_millis(self._registered_at)
        )
        current = await self._store.get(key)
        while True:
            if current is not None and self._is_successor(current.key, current.value):
                self._end_superseded()
                return
            revision = current.revision if current else ABSENT
            value = encode_member(record)
            result = await self._store.swap(key, value, revision, self._lease_id)
            if not isinstance(result, SwapConflict):
                break
            current = result.current
        self.revision = result.revision
        self._has_registered = True
        self._written_member = member

    def _end_superseded(self) -> None:
        self._superseded = True
        self._on_superseded()

    def _is_successor(self, key: str, value: bytes) -> bool:
        """Return whether a process that started later has written the key."""
        record = decode_member(key, value)
        if record.member.incarnation == self._written_member.incarnation:
            return False
        return self._has_registered


def _ignore_cancelled(failure: Failure) -> None:
    failure.trap(CancelledError)
