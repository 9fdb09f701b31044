"""A stand-in target's health endpoint, which can lag and lie."""

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
    """What a target says of itself, and how it deviates from the truth."""

    #: Returns whether the target takes work.
    is_healthy: Callable[[], bool] = lambda: True
    #: Returns requests at work and waiting, over slots.
    read_load: Callable[[], float] = lambda: 0.0
    #: Answers by which it lags: each tells the state of so many answers ago.
    lag: int = 0
    #: Says the opposite of the truth while set.
    inverted: bool = False
    #: Seconds before it answers.
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
    """Serve a health endpoint until cancelled; starts with where it listens."""
    application = health.to_application()
    await serve_application(application, endpoint, task_status=task_status)
