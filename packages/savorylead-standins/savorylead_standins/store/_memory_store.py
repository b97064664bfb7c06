"""The platform's key-value service in memory, with its failures."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple, TypeVar

from savorylead.clock import Clock, Timer
from savorylead.store import (
    ABSENT,
    MAX_VALUE_BYTES,
    KeyValue,
    Snapshot,
    Store,
    StoreLeaseLostError,
    StoreTimeoutError,
    StoreUnavailableError,
    SwapConflict,
    Swapped,
    Watch,
)

from ._change_log import ChangeLog

T = TypeVar("T")


class CallFate(enum.Enum):
    """What happens to one call."""

    #: Applied and answered.
    ANSWERED = "answered"
    #: Applied, but the reply is lost: the caller sees a timeout.
    REPLY_LOST = "reply_lost"
    #: The caller sees a timeout, and the call is applied some time afterwards.
    LANDS_LATE = "lands_late"
    #: Never applied: the caller sees a timeout.
    LOST = "lost"
    #: Never applied: the caller sees an error at once.
    REFUSED = "refused"


class _Lease:
    """A lease and the keys bound to it."""

    def __init__(self, ttl: timedelta, timer: Timer, expires_at: datetime) -> None:
        self.ttl = ttl
        self.timer = timer
        self.expires_at = expires_at
        self.keys: set[str] = set()


class StoreCall(NamedTuple):
    """One call as a fault plan sees it."""

    #: Name of the client, such as a daemon's name.
    client: str
    #: Name of the Store method.
    method: str
    #: Key, prefix or lease id.
    target: str
    #: What a swap writes; None for every other call and for a deletion.
    value: bytes | None = None


@dataclass
class FaultPlan:
    """Decides the fate and the duration of each call; tests replace its fields."""

    #: Mean time from call to answer.
    latency: timedelta = timedelta(milliseconds=3)
    #: After this long without a reply the client sees a timeout.
    deadline: timedelta = timedelta(seconds=1)
    #: How long after the timeout a late call is applied.
    late_by: timedelta = timedelta(seconds=1)
    #: Chooses the fate of each call.
    fate: Callable[[StoreCall], CallFate] = lambda call: CallFate.ANSWERED
    #: Whether watches of this client hear nothing.
    silent: Callable[[str], bool] = lambda client: False
    #: Refuses every call while True.
    down: bool = False
    #: Clients whose calls time out, as when their network is cut.
    cut: set[str] = field(default_factory=set)


class _Subscription(Watch):
    """One client's watch of one prefix."""

    def __init__(
        self,
        client: str,
        prefix: str,
        on_change: Callable[[str], None],
        drop: Callable[[_Subscription], None],
    ) -> None:
        self.client = client
        self.prefix = prefix
        self.on_change = on_change
        self._drop = drop

    def cancel(self) -> None:
        self._drop(self)


class MemoryStore:
    """The service itself; clients reach it through ``client(name)``.

    It outlives the daemons, so tests keep one and restart clients around it.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, faults: FaultPlan | None = None
    ) -> None:
        self.faults = faults or FaultPlan()
        #: Calls by method, a waiting watch counting as one.
        self.calls: Counter[str] = Counter()
        #: Every write, whatever befalls the watches.
        self.changes = ChangeLog()
        self._clock = clock
        self._rng = rng
        self._revision = 0
        self._items: dict[str, KeyValue] = {}
        self._lease_of: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._subscriptions: list[_Subscription] = []

    def client(self, name: str) -> MemoryStoreClient:
        """Return the store as the named client reaches it."""
        return MemoryStoreClient(self, name)

    def peek(self, prefix: str = "") -> dict[str, bytes]:
        """Return the keys below ``prefix`` without a call, for checkers."""
        return {k: i.value for k, i in self._items.items() if k.startswith(prefix)}

    async def call(self, call: StoreCall, apply: Callable[[], T]) -> T:
        """Run one call of a client under the fault plan."""
        self.calls[call.method] += 1
        if self.faults.down:
            raise StoreUnavailableError(call.method)
        fate = self.faults.fate(call)
        if call.client in self.faults.cut:
            fate = CallFate.LOST
        if fate is CallFate.REFUSED:
            raise StoreUnavailableError(call.method)
        if fate is CallFate.LOST:
            return await self._time_out(call)
        if fate is CallFate.LANDS_LATE:
            late = self.faults.deadline + self.faults.late_by
            self._clock.call_later(late, self._apply_unanswered, apply)
            return await self._time_out(call)
        latency = self.faults.latency * (0.5 + self._rng.random())
        if latency > self.faults.deadline:
            self._clock.call_later(latency, self._apply_unanswered, apply)
            return await self._time_out(call)
        await self._clock.sleep(latency / 2)
        result = apply()
        if fate is CallFate.REPLY_LOST:
            return await self._time_out(call)
        await self._clock.sleep(latency / 2)
        return result

    def get(self, key: str) -> KeyValue | None:
        """Return one key."""
        return self._items.get(key)

    def list(self, prefix: str) -> Snapshot:
        """Return the keys below ``prefix``."""
        keys = sorted(key for key in self._items if key.startswith(prefix))
        return Snapshot(tuple(self._items[key] for key in keys), self._revision)

    def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None,
    ) -> Swapped | SwapConflict:
        """Write or delete one key if its revision is the expected one."""
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key}: {len(value)} bytes are over the limit")
        if lease_id is not None and lease_id not in self._leases:
            raise StoreLeaseLostError(lease_id)
        current = self._items.get(key)
        current_revision = current.revision if current else ABSENT
        if current_revision != expected_revision:
            return SwapConflict(current)
        self._write(key, value, lease_id)
        return Swapped(self._revision)

    def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        lease_id = f"lease-{self._rng.getrandbits(64):016x}"
        timer = self._clock.call_later(ttl, self._end_lease, lease_id)
        self._leases[lease_id] = _Lease(ttl, timer, self._clock.now() + ttl)
        return lease_id

    def renew_lease(self, lease_id: str) -> None:
        """Extend a lease by its ttl."""
        lease = self._leases.get(lease_id)
        if lease is None:
            raise StoreLeaseLostError(lease_id)
        lease.timer.cancel()
        lease.timer = self._clock.call_later(lease.ttl, self._end_lease, lease_id)
        lease.expires_at = self._clock.now() + lease.ttl

    def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        self._end_lease(lease_id)

    def subscribe(
        self, client: str, prefix: str, on_change: Callable[[str], None]
    ) -> Watch:
        """Start a watch."""
        self.calls["watch"] += 1
        subscription = _Subscription(
            client, prefix, on_change, self._subscriptions.remove
        )
        self._subscriptions.append(subscription)
        return subscription

    async def _time_out(self, call: StoreCall) -> T:
        await self._clock.sleep(self.faults.deadline)
        raise StoreTimeoutError(call.method)

    def _apply_unanswered(self, apply: Callable[[], object]) -> None:
        try:
            apply()
        except StoreLeaseLostError:
            return

    def _end_lease(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        lease.timer.cancel()
        for key in sorted(lease.keys):
            self._write(key, None, None)

    def _write(self, key: str, value: bytes | None, lease_id: str | None) -> None:
        self._revision += 1
        self._unbind(key)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = KeyValue(key, value, self._revision)
            self._bind(key, lease_id)
        self.changes.note(self._revision, key)
        self._notify(key)

    def _unbind(self, key: str) -> None:
        lease = self._leases.get(self._lease_of.pop(key, ""))
        if lease is not None:
            lease.keys.discard(key)

    def _bind(self, key: str, lease_id: str | None) -> None:
        if lease_id is not None:
            self._lease_of[key] = lease_id
            self._leases[lease_id].keys.add(key)

    def _notify(self, key: str) -> None:
        for subscription in list(self._subscriptions):
            if not key.startswith(subscription.prefix):
                continue
            if self.faults.down or subscription.client in self.faults.cut:
                continue
            if self.faults.silent(subscription.client):
                continue
            delay = self.faults.latency / 2
            self._clock.call_later(delay, self._call_back, subscription, key)

    def _call_back(self, subscription: _Subscription, key: str) -> None:
        if subscription in self._subscriptions:
            subscription.on_change(key)


class MemoryStoreClient(Store):
    """The store as one client reaches it."""

    def __init__(self, service: MemoryStore, name: str) -> None:
        self._service = service
        self._name = name

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it does not exist."""
        return await self._call("get", key, lambda: self._service.get(key))

    async def list(self, prefix: str) -> Snapshot:
        """Return all keys that start with ``prefix``."""
        return await self._call("list", prefix, lambda: self._service.list(prefix))

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> Swapped | SwapConflict:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        return await self._call(
            "swap",
            key,
            lambda: self._service.swap(key, value, expected_revision, lease_id),
            value,
        )

    async def grant_lease(self, ttl: timedelta) -> str:
        """Return the id of a new lease."""
        return await self._call(
            "grant_lease", "", lambda: self._service.grant_lease(ttl)
        )

    async def renew_lease(self, lease_id: str) -> None:
        """Extend the lease by its ttl."""
        await self._call(
            "renew_lease", lease_id, lambda: self._service.renew_lease(lease_id)
        )

    async def revoke_lease(self, lease_id: str) -> None:
        """End the lease and delete the keys bound to it."""
        await self._call(
            "revoke_lease", lease_id, lambda: self._service.revoke_lease(lease_id)
        )

    def watch(self, prefix: str, on_change: Callable[[str], None]) -> Watch:
        """Call ``on_change(key)`` after changes below ``prefix``."""
        return self._service.subscribe(self._name, prefix, on_change)

    async def _call(
        self,
        method: str,
        target: str,
        apply: Callable[[], T],
        value: bytes | None = None,
    ) -> T:
        call = StoreCall(self._name, method, target, value)
        return await self._service.call(call, apply)
