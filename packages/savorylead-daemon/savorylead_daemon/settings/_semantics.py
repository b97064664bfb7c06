"""Validation across fields, which a schema can't express."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from datetime import timedelta

from savorylead.documents import DocumentFault

from ._settings import Endpoint, Settings

#: Renewal intervals that a lease must span, to survive lost renewals.
RENEWALS_PER_LEASE = 2


def semantic_faults(settings: Settings) -> list[DocumentFault]:
    """Return every fault that depends on several fields or parsed values."""
    return [
        *_listen_faults(settings),
        *_platform_faults(settings),
        *_lease_faults(settings),
        *_limit_faults(settings),
    ]


def _listen_faults(settings: Settings) -> Iterator[DocumentFault]:
    listen = settings.listen
    if listen.callers.port and listen.callers == listen.peers:
        yield DocumentFault("$.listen.peers", "is the same endpoint as callers")
    advertised = listen.advertised_peers
    if ipaddress.ip_address(advertised.host).is_unspecified:
        yield DocumentFault(
            "$.listen.advertised_peers",
            f"{advertised.host} can't be reached by other daemons; name an address",
        )
    if advertised.port == 0 and listen.peers.port != 0:
        yield DocumentFault("$.listen.advertised_peers", "needs a port")


def _platform_faults(settings: Settings) -> Iterator[DocumentFault]:
    for field, endpoint in settings.platform._asdict().items():
        if not _reachable(endpoint):
            yield DocumentFault(
                f"$.platform.{field}", f"{endpoint} is not an endpoint to connect to"
            )


def _reachable(endpoint: Endpoint) -> bool:
    unspecified = ipaddress.ip_address(endpoint.host).is_unspecified
    return endpoint.port != 0 and not unspecified


def _lease_faults(settings: Settings) -> Iterator[DocumentFault]:
    leases = settings.leases
    pairs = (
        ("member_renew_every_s", leases.member_renew_every, leases.member),
        ("worker_renew_every_s", leases.worker_renew_every, leases.worker),
    )
    for field, renew_every, lease in pairs:
        if renew_every * RENEWALS_PER_LEASE > lease:
            yield DocumentFault(
                f"$.leases.{field}",
                f"must be at most half of the lease of {_seconds(lease)} s",
            )
    if leases.drift_bound >= leases.member:
        yield DocumentFault(
            "$.leases.drift_bound_s",
            f"must be below the member's lease of {_seconds(leases.member)} s",
        )


def _limit_faults(settings: Settings) -> Iterator[DocumentFault]:
    limits = settings.limits
    if limits.buffered_bytes < limits.body_bytes:
        yield DocumentFault(
            "$.limits.buffered_bytes",
            f"must be at least body_bytes of {limits.body_bytes}",
        )


def _seconds(duration: timedelta) -> str:
    return f"{duration.total_seconds():g}"
