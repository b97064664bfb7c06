"""Time under a test's control."""

from ._stepped_time import SteppedTime

__all__ = ["SteppedTime"]
