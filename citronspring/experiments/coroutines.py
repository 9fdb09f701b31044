"""Runs coroutines in virtual time, interleaved at each wait.

Operators and zone readers are coroutines that call the platform. Each call waits in
virtual time, so that concurrent operators interleave as the seed determines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from citronspring.errors import OutcomeUnknownError, PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Generator

    from citronspring.standins.network import Network


@dataclass(frozen=True, slots=True)
class Sleep:
    """Awaitable that waits some seconds of virtual time."""

    seconds: float

    def __await__(self) -> Generator[Sleep, None, None]:
        yield self


async def sleep(seconds: float) -> None:
    """Wait in virtual time, in place of `asyncio.sleep`."""
    await Sleep(seconds)


@dataclass(slots=True)
class CoroutineResult:
    """Result of a coroutine: a value or an error."""

    value: Any = None
    error: Exception | None = None


def start_coroutine(
    network: Network,
    coroutine: Coroutine[Any, None, Any],
    done: Callable[[CoroutineResult], None],
) -> None:
    """Run a coroutine in virtual time and call ``done`` with its result."""

    def step() -> None:
        try:
            sleep_request = coroutine.send(None)
        except StopIteration as end:
            done(CoroutineResult(end.value))
        except Exception as error:
            done(CoroutineResult(error=error))
        else:
            network.after(sleep_request.seconds, step)

    step()


class DelayedPlatform:
    """A platform whose calls take virtual time in both directions.

    Parameters
    ----------
    platform : Platform
        Platform that handles the calls.
    delay : callable
        Returns the one-way delay in seconds.
    reachable : callable
        Returns whether the platform is reachable now.
    """

    def __init__(
        self,
        platform: Any,
        delay: Callable[[], float],
        reachable: Callable[[], bool],
    ) -> None:
        self.platform = platform
        self.delay = delay
        self.reachable = reachable

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        method = getattr(self.platform, name)

        async def call(*args: Any, **kwargs: Any) -> Any:
            return await self.call(method, *args, **kwargs)

        return call

    async def call(
        self, method: Callable[..., Awaitable[Any]], *args: Any, **kwargs: Any
    ) -> Any:
        """Call a method of the platform with delays and outages.

        Raises
        ------
        PlatformUnavailableError
            If the platform is unreachable before the call arrives.
        OutcomeUnknownError
            If it becomes unreachable before the answer arrives.
        """
        self.require_reachable()
        await sleep(self.delay())
        self.require_reachable()
        result = await method(*args, **kwargs)
        await sleep(self.delay())
        if not self.reachable():
            raise OutcomeUnknownError("the answer was lost", "read before a retry")
        return result

    def require_reachable(self) -> None:
        """Raise `PlatformUnavailableError` unless the platform is reachable."""
        if not self.reachable():
            raise PlatformUnavailableError("platform unreachable", "try again")
