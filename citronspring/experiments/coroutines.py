"""Runs coroutines in virtual time, interleaved at each wait.

Operators and readers are coroutines that call the platform. Here each call waits
in virtual time, so that two operators interleave as their seed says.
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
    """Waits so many seconds of virtual time."""

    seconds: float

    def __await__(self) -> Generator[Sleep, None, None]:
        yield self


async def sleep(seconds: float) -> None:
    """Wait in virtual time; takes the place of a real sleep."""
    await Sleep(seconds)


@dataclass(slots=True)
class CoroutineResult:
    """How a coroutine ended: with a value, or with an error."""

    value: Any = None
    error: Exception | None = None


def start_coroutine(
    network: Network,
    coroutine: Coroutine[Any, None, Any],
    done: Callable[[CoroutineResult], None],
) -> None:
    """Run a coroutine over virtual time and tell how it ended."""

    def step() -> None:
        try:
            waited = coroutine.send(None)
        except StopIteration as end:
            done(CoroutineResult(end.value))
        except Exception as error:
            done(CoroutineResult(error=error))
        else:
            network.after(waited.seconds, step)

    step()


class DelayedPlatform:
    """A platform whose every call takes virtual time on both ways.

    Parameters
    ----------
    platform : Platform
        What the calls reach.
    delay : callable
        Returns the seconds of one way.
    reachable : callable
        Whether calls get through at this moment.
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
        """Call a method of the platform; raises what its port raises."""
        self.require_reachable()
        await sleep(self.delay())
        self.require_reachable()
        result = await method(*args, **kwargs)
        await sleep(self.delay())
        if not self.reachable():
            raise OutcomeUnknownError("the answer was lost", "read before repeating")
        return result

    def require_reachable(self) -> None:
        """Raise unless calls get through."""
        if not self.reachable():
            raise PlatformUnavailableError("no way to the platform", "try again")
