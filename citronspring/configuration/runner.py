"""How the store runs long computations: in a worker thread, or in the caller's."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


class Runner(Protocol):
    """Runs a function, as ``anyio.to_thread.run_sync`` does."""

    def __call__(self, function: Callable[..., T], /, *args: Any) -> Awaitable[T]:
        """Run a function, and return its result."""


async def run_in_place(function: Callable[..., T], /, *args: Any) -> T:
    """Run a function in the calling thread, for callers without an event loop."""
    return function(*args)
