"""A daemon's entrance on loopback, and command lines that talk to it."""

import pytest

from savorylead_standins.console import Console
from savorylead_standins.services import LoopbackGateway, MemoryGateway


@pytest.fixture
def server():
    with LoopbackGateway(MemoryGateway()) as server:
        yield server


@pytest.fixture
def ctl(server):
    return Console(server)
