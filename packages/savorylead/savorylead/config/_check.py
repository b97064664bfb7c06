"""Validation of a whole configuration document."""

from __future__ import annotations

from savorylead.documents import DocumentFault

from ._schema import structural_faults
from ._semantics import semantic_faults


def check_document(raw: object) -> list[DocumentFault]:
    """Return every fault of a cell's document, sorted by path; empty if it is valid.

    ``raw`` is the output of a JSON parser. An entry, such as a team or a queue, whose
    structure is invalid gets no semantic checks.
    """
    invalid_paths: set[tuple[str, ...]] = set()
    faults = set()
    for parts, fault in structural_faults(raw):
        invalid_paths.add(parts[:2])
        faults.add(fault)
    if isinstance(raw, dict):
        faults.update(semantic_faults(raw, invalid_paths))
    return sorted(faults)
