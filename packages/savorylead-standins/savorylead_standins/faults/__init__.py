"""The fault matrix: injects every fault at every step of a cell and runs checkers."""

from ._faults import FAULTS, Fault
from ._faulty_cell import FaultyCell, Location, Observation
from ._matrix import (
    CellReport,
    FaultAt,
    MatrixRun,
    pair_seed,
    sampled_pairs,
    seed_of,
    single_faults,
)
from ._recording_caller import RecordingCaller, Request
from ._scenario import SHAPE, Scenario
from ._steps import STEPS, Step
from ._variants import VARIANTS, BrokenVariant

__all__ = [
    "FAULTS",
    "SHAPE",
    "STEPS",
    "VARIANTS",
    "BrokenVariant",
    "CellReport",
    "Fault",
    "FaultAt",
    "FaultyCell",
    "MatrixRun",
    "RecordingCaller",
    "Request",
    "Scenario",
    "Observation",
    "Location",
    "Step",
    "pair_seed",
    "sampled_pairs",
    "seed_of",
    "single_faults",
]
