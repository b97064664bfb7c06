"""A member as its key in the store holds it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ._domain import Member

#: Below this prefix lies one key per member, bound to its lease.
MEMBERS_PREFIX = "members/"


class MemberRecord(NamedTuple):
    """A member and since when it may be trusted to stay."""

    member: Member
    #: Unix time in milliseconds from which it may be given a shard that has a lead.
    settled_at_ms: int
    #: Unix time in milliseconds at which it registered, anew after each lapse.
    registered_at_ms: int = 0

    def settled(self, now_ms: int) -> bool:
        """Return whether the member has been there long enough."""
        return now_ms >= self.settled_at_ms


class MemberFormatError(Exception):
    """The key of a member cannot be read."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")
        self.key = key
        self.detail = detail


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(MemberRecord)


def member_key(name: str) -> str:
    """Return the key of a member."""
    return f"{MEMBERS_PREFIX}{name}"


def encode_member(record: MemberRecord) -> bytes:
    """Return the record as JSON."""
    return _ENCODER.encode(record)


def decode_member(key: str, value: bytes) -> MemberRecord:
    """Return a record; raises MemberFormatError."""
    try:
        return _DECODER.decode(value)
    except msgspec.MsgspecError as exc:
        raise MemberFormatError(key, str(exc)) from exc
