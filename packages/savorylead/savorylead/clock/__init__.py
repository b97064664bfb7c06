"""A clock interface, so that tests can control the time."""

from ._clock import Clock, Timer, to_millis
from ._twisted_clock import TwistedClock
from ._wakeup import Wakeup

__all__ = ["Clock", "Timer", "TwistedClock", "Wakeup", "to_millis"]
