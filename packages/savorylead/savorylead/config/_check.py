"""Validation of a whole configuration document."""

from __future__ import annotations

from savorylead.documents import DocumentFault

from ._meaning import meaning_faults
from ._schema import structure_faults


def check_document(raw: object) -> list[DocumentFault]:
    """Return every fault of a cell's document, sorted by path; empty if it is valid.

    ``raw`` is the output of a JSON parser. An entry, such as a team or a queue, whose
    structure is invalid gets no semantic checks.
    """
    broken: set[tuple[str, ...]] = set()
    faults = set()
    for parts, fault in structure_faults(raw):
        broken.add(parts[:2])
        faults.add(fault)
    if isinstance(raw, dict):
        faults.update(meaning_faults(raw, broken))
    return sorted(faults)
