"""Fixtures: a daemon's HTTP interface on loopback, and a savoryctl that calls it."""

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
