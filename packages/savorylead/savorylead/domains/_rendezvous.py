"""Rendezvous hashing: every daemon computes the same owner without messages."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the 64-bit score of ``candidate`` for ``key``."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates from the best to the worst for ``key``."""
    return sorted(candidates, key=lambda c: (-rendezvous_score(key, c), c))


def rendezvous_owner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the best candidate for ``key``, or None if there is none."""
    return min(candidates, key=lambda c: (-rendezvous_score(key, c), c), default=None)
