"""JSON encoding of messages between daemons: ``[tag, revision, fields]``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from savorylead.outcomes import Refusal, UnknownOutcomeError
from savorylead_daemon.services import TaskPage

from ._messages import (
    AnswersMessage,
    CancelMessage,
    DigestAnswer,
    DigestMessage,
    KeyRefused,
    LeadLost,
    NotLead,
    OfferAnswer,
    OfferMessage,
    PeerAnswer,
    PeerMessage,
    SubmitAnswer,
    SubmitMessage,
    TasksAnswer,
    TasksMessage,
    TombstoneMessage,
    ViewsAnswer,
    WireView,
    WorkersAnswer,
    WorkersMessage,
    reply_from_wire,
    reply_to_wire,
    view_from_wire,
    view_to_wire,
)


class PeerCodecError(Exception):
    """Bytes from a peer could not be decoded as a message or an answer."""


class Envelope(NamedTuple):
    """One message on the wire."""

    tag: str
    #: Revision of the configuration in force at the sender.
    revision: int
    fields: msgspec.Raw


class Decoded(NamedTuple):
    """A message or an answer, and the sender's configuration revision."""

    revision: int
    content: Any


_MESSAGES: dict[str, type] = {
    "submit": SubmitMessage,
    "answers": AnswersMessage,
    "cancel": CancelMessage,
    "tombstone": TombstoneMessage,
    "offer": OfferMessage,
    "tasks": TasksMessage,
    "workers": WorkersMessage,
    "digest": DigestMessage,
}
_MESSAGE_TAGS = {kind: tag for tag, kind in _MESSAGES.items()}


class _AnswerCodec(NamedTuple):
    """How one type of answer is encoded and decoded."""

    kind: type
    to_wire: Callable[[Any], Any]
    wire_type: Any
    from_wire: Callable[[Any], Any]


class _WirePage(NamedTuple):
    tasks: list[WireView]
    next_after: str


def _page_to_wire(answer: TasksAnswer) -> _WirePage:
    page = answer.page
    return _WirePage([view_to_wire(v) for v in page.tasks], page.next_after)


def _page_from_wire(wire: _WirePage) -> TasksAnswer:
    views = tuple(view_from_wire(view) for view in wire.tasks)
    return TasksAnswer(TaskPage(views, wire.next_after))


_ANSWERS: dict[str, _AnswerCodec] = {
    "submit": _AnswerCodec(
        SubmitAnswer,
        lambda answer: [reply_to_wire(reply) for reply in answer.replies],
        list[tuple[str, list[Any]]],
        lambda wire: SubmitAnswer(tuple(reply_from_wire(reply) for reply in wire)),
    ),
    "views": _AnswerCodec(
        ViewsAnswer,
        lambda answer: [view_to_wire(view) for view in answer.views],
        list[WireView],
        lambda wire: ViewsAnswer(tuple(view_from_wire(view) for view in wire)),
    ),
    "tasks": _AnswerCodec(TasksAnswer, _page_to_wire, _WirePage, _page_from_wire),
    "offer": _AnswerCodec(
        OfferAnswer, lambda answer: answer, OfferAnswer, lambda wire: wire
    ),
    "workers": _AnswerCodec(
        WorkersAnswer, lambda answer: answer, WorkersAnswer, lambda wire: wire
    ),
    "digest": _AnswerCodec(
        DigestAnswer, lambda answer: answer, DigestAnswer, lambda wire: wire
    ),
    "not_lead": _AnswerCodec(NotLead, lambda answer: answer.shard, str, NotLead),
    "key_refused": _AnswerCodec(
        KeyRefused,
        lambda answer: answer.reason.value,
        str,
        lambda wire: KeyRefused(Refusal(wire)),
    ),
    "lead_lost": _AnswerCodec(LeadLost, lambda answer: answer.shard, str, LeadLost),
}
_ANSWER_TAGS = {form.kind: tag for tag, form in _ANSWERS.items()}
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Envelope)


def encode_message(message: PeerMessage, revision: int) -> bytes:
    """Encode a message."""
    return _encoder.encode((_MESSAGE_TAGS[type(message)], revision, message))


def decode_message(data: bytes) -> Decoded:
    """Decode a message; raises PeerCodecError."""
    try:
        envelope = _decoder.decode(data)
        kind = _MESSAGES[envelope.tag]
        return Decoded(
            envelope.revision, msgspec.json.decode(envelope.fields, type=kind)
        )
    except (KeyError, msgspec.DecodeError) as exc:
        raise PeerCodecError(str(exc)) from exc


def encode_answer(answer: PeerAnswer, revision: int) -> bytes:
    """Encode an answer."""
    tag = _ANSWER_TAGS[type(answer)]
    return _encoder.encode((tag, revision, _ANSWERS[tag].to_wire(answer)))


def decode_answer(data: bytes) -> Decoded:
    """Decode an answer; raises PeerCodecError."""
    try:
        envelope = _decoder.decode(data)
        form = _ANSWERS[envelope.tag]
        wire = msgspec.json.decode(envelope.fields, type=form.wire_type)
        return Decoded(envelope.revision, form.from_wire(wire))
    except (ValueError, KeyError, UnknownOutcomeError) as exc:
        raise PeerCodecError(str(exc)) from exc
