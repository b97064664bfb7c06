"""Arithmetic on resources as plain tuples, for code that runs on every decision."""

from __future__ import annotations

#: Amounts in the order of the fields of Resources.
Amounts = tuple[int, int, int, int, int]


def plus(one: Amounts, other: Amounts) -> Amounts:
    """Return the sum by dimension."""
    a, b, c, d, e = one
    f, g, h, i, j = other
    return (a + f, b + g, c + h, d + i, e + j)


def minus(one: Amounts, other: Amounts) -> Amounts:
    """Return the difference by dimension, which may be negative."""
    a, b, c, d, e = one
    f, g, h, i, j = other
    return (a - f, b - g, c - h, d - i, e - j)


def fits(need: Amounts, free: Amounts) -> bool:
    """Return whether no dimension of ``need`` exceeds ``free``."""
    return (
        need[0] <= free[0]
        and need[1] <= free[1]
        and need[2] <= free[2]
        and need[3] <= free[3]
        and need[4] <= free[4]
    )
