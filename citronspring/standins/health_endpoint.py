"""A stand-in target's health endpoint, which can report old or inverted states."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from citronspring.serving import serve_application

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus
    from starlette.requests import Request

    from citronspring.entities import Endpoint


@dataclass(slots=True)
class HealthEndpoint:
    """The state that a target reports, and how it deviates from its real state."""

    #: Returns whether the target accepts requests.
    is_healthy: Callable[[], bool] = lambda: True
    #: Returns the number of running and queued requests per slot.
    read_load: Callable[[], float] = lambda: 0.0
    #: Number of answers by which each reported state is out of date.
    lag: int = 0
    #: Report the opposite of the real health while set.
    inverted: bool = False
    #: Delay of each answer, seconds.
    delay: float = 0.0
    answered: int = 0
    #: States of the last answers, the newest last.
    history: deque[dict[str, object]] = field(default_factory=deque)

    async def answer(self, request: Request) -> JSONResponse:
        """Answer a probe."""
        del request
        self.answered += 1
        await anyio.sleep(self.delay)
        healthy = self.is_healthy() is not self.inverted
        self.history.append({"healthy": healthy, "load": self.read_load()})
        while len(self.history) > self.lag + 1:
            self.history.popleft()
        return JSONResponse(self.history[0])

    def to_application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=[Route("/health", self.answer)])


async def serve_health(
    health: HealthEndpoint,
    endpoint: Endpoint,
    *,
    task_status: TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a health endpoint until cancelled; report its address once started."""
    application = health.to_application()
    await serve_application(application, endpoint, task_status=task_status)
