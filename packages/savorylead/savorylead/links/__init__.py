"""Client links to peers, workers and the store: deadlines, backoff, retry budgets."""

from ._answer_times import AnswerTimes, OverdueSettings
from ._backoff import Backoff, DecorrelatedJitterBackoff, FullJitterBackoff
from ._connection_pool import ConnectionPool
from ._counts import LinkCount
from ._deadline import (
    Deadline,
    DeadlineExceededError,
    while_progressing,
    within,
)
from ._errors import (
    LinkBrokenError,
    LinkClosedError,
    LinkError,
    LinkOverloadedError,
    LinkTimeoutError,
    LinkUnavailableError,
)
from ._heartbeat import Heartbeat
from ._link import Connection, Link, LinkReply, LinkRequest, Transport
from ._resilient_link import ResilientLink
from ._retry_budget import RetryBudget
from ._settings import LinkSettings

__all__ = [
    "AnswerTimes",
    "Backoff",
    "Connection",
    "ConnectionPool",
    "Deadline",
    "DeadlineExceededError",
    "DecorrelatedJitterBackoff",
    "FullJitterBackoff",
    "Heartbeat",
    "Link",
    "LinkBrokenError",
    "LinkClosedError",
    "LinkCount",
    "LinkError",
    "LinkOverloadedError",
    "LinkReply",
    "LinkRequest",
    "LinkSettings",
    "LinkTimeoutError",
    "LinkUnavailableError",
    "OverdueSettings",
    "ResilientLink",
    "RetryBudget",
    "Transport",
    "while_progressing",
    "within",
]
