"""The fault matrix: whole daemons, every fault at every step, then the checkers."""

from ._faults import FAULTS, Fault
from ._faulty_cell import FaultyCell, Sight, Spot
from ._matrix import CellReport, FaultAt, MatrixRun, seed_of, single_faults
from ._scenario import SHAPE, Scenario
from ._steps import STEPS, Step

__all__ = [
    "FAULTS",
    "SHAPE",
    "STEPS",
    "CellReport",
    "Fault",
    "FaultAt",
    "FaultyCell",
    "MatrixRun",
    "Scenario",
    "Sight",
    "Spot",
    "Step",
    "seed_of",
    "single_faults",
]
