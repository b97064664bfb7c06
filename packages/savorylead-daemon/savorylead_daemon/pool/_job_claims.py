"""Claims of job ids, which make an id one job whatever pool its route names.

The record of a job is stored under its pool, and a route may move to another pool while
daemons hold different versions of the configuration. The claim is stored under the id
alone, in the transaction that stores the record.
"""

from __future__ import annotations

import msgspec

from savorylead.jobs import RecordError
from savorylead.pools import AdviceCost, Queue


class _AdviceFields(msgspec.Struct):
    decide_ms: float
    per_worker_ms: float
    valid_ms: int


class _QueueFields(msgspec.Struct, omit_defaults=True):
    """A queue by the names of its fields, so that later versions may add some."""

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    objective_ms: int
    anonymous: bool = False
    advice: _AdviceFields | None = None


class JobClaim(msgspec.Struct, omit_defaults=True):
    """The pool of an accepted job, and its queue as it was then."""

    pool: str
    #: None if the daemon that stored the job did not know the queue.
    queue: _QueueFields | None = None

    @classmethod
    def of(cls, pool: str, queue: Queue | None) -> JobClaim:
        """Return the claim of a job that is stored in ``pool``."""
        if queue is None:
            return cls(pool)
        fields = queue._asdict()
        if queue.advice is not None:
            fields["advice"] = _AdviceFields(**queue.advice._asdict())
        return cls(pool, _QueueFields(**fields))

    def accepted_queue(self) -> Queue | None:
        """Return the queue as it was when the job was accepted."""
        if self.queue is None:
            return None
        fields = msgspec.structs.asdict(self.queue)
        if self.queue.advice is not None:
            fields["advice"] = AdviceCost(**msgspec.structs.asdict(self.queue.advice))
        return Queue(**fields)


def encode_claim(claim: JobClaim) -> bytes:
    """Return a claim as JSON."""
    return msgspec.json.encode(claim)


def decode_claim(key: str, value: bytes) -> JobClaim:
    """Return a stored claim; raises RecordError with the key."""
    try:
        return msgspec.json.decode(value, type=JobClaim)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise RecordError(key, str(exc)) from exc
