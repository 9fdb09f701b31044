"""Fixtures that every test may use."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on one backend."""
    return "asyncio"
