"""Records of members in the store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ._domain import Member

#: Prefix of the members' keys; each key is bound to the lease of its member.
MEMBERS_PREFIX = "members/"


class MemberRecord(NamedTuple):
    """A member and the times of its registration."""

    member: Member
    #: Unix time in milliseconds from which it may take over a shard that has a lead.
    settled_at_ms: int
    #: Unix time in milliseconds of its last registration; each lapse requires another.
    registered_at_ms: int = 0

    def settled(self, now_ms: int) -> bool:
        """Return whether the member has been registered long enough."""
        return now_ms >= self.settled_at_ms


class MemberFormatError(Exception):
    """The value of a member's key cannot be decoded."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"{key}: {detail}")
        self.key = key
        self.detail = detail


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(MemberRecord)


def member_key(name: str) -> str:
    """Return the key of a member in the store."""
    return f"{MEMBERS_PREFIX}{name}"


def encode_member(record: MemberRecord) -> bytes:
    """Encode the record as JSON."""
    return _ENCODER.encode(record)


def decode_member(key: str, value: bytes) -> MemberRecord:
    """Decode a record; raises MemberFormatError."""
    try:
        return _DECODER.decode(value)
    except msgspec.MsgspecError as exc:
        raise MemberFormatError(key, str(exc)) from exc
