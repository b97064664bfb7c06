"""Time as an interface, so that tests can drive it."""

from ._clock import Clock, Timer, to_millis
from ._twisted_clock import TwistedClock

__all__ = ["Clock", "Timer", "TwistedClock", "to_millis"]
