"""A small HTTP service that stands in for the platform."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

import anyio
from pydantic import TypeAdapter, ValidationError
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from citronspring.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.key_value.http import EPOCH_HEADER, VERSION_HEADER, WATCH_SECONDS
from citronspring.key_value.port import ABSENT
from citronspring.serving import serve_application
from citronspring.standins.memory import MemoryPlatform, Switches
from citronspring.tokens.entries import count_of, epoch_of, ordered_revision

if TYPE_CHECKING:
    from anyio.abc import TaskStatus
    from starlette.requests import Request

    from citronspring.entities import Endpoint
    from citronspring.key_value.port import StoredValue

SWITCHES = TypeAdapter(Switches)


async def serve_platform(
    platform: MemoryPlatform,
    endpoint: Endpoint,
    *,
    task_status: TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a platform until cancelled; report the bound endpoint once started."""
    service = PlatformService(platform)
    await serve_application(
        make_application(service),
        endpoint,
        stop=service.end_watches,
        task_status=task_status,
    )


def make_application(service: PlatformService) -> Starlette:
    """Make the ASGI application of a service."""
    routes = [
        Route("/values/{key:path}", service.get, methods=["GET"]),
        Route("/values/{key:path}", service.put, methods=["PUT"]),
        Route("/values/{key:path}", service.delete, methods=["DELETE"]),
        Route("/hosts", service.list_hosts, methods=["GET"]),
        Route("/hosts", service.set_hosts, methods=["PUT"]),
        Route("/switches", service.get_switches, methods=["GET"]),
        Route("/switches", service.set_switches, methods=["PUT"]),
    ]
    handlers = {
        PlatformUnavailableError: handle_unavailable,
        OutcomeUnknownError: handle_outcome_unknown,
        VersionMismatchError: handle_version_mismatch,
        ConfigurationError: handle_oversized_value,
    }
    return Starlette(routes=routes, exception_handlers=handlers)


@dataclass(slots=True)
class PlatformService:
    """The HTTP handlers of one platform."""

    platform: MemoryPlatform
    #: Cancel scopes of the pending watches.
    watches: set[anyio.CancelScope] = field(default_factory=set)

    async def get(self, request: Request) -> Response:
        """Return the value of a key; with ``after`` in the query, watch it instead."""
        key = request.path_params["key"]
        if "after" in request.query_params:
            return await self.watch(request, key)
        stored = await self.platform.get(key)
        if stored is None:
            return Response(status_code=404)
        return value_response(stored)

    async def watch(self, request: Request, key: str) -> Response:
        """Return a newer version, or status 204 if none is written within ``wait``."""
        query = request.query_params
        wait = min(float(query.get("wait", WATCH_SECONDS)), WATCH_SECONDS)
        with anyio.move_on_after(wait) as scope:
            self.watches.add(scope)
            try:
                after = ordered_revision(
                    int(query.get("epoch", "0")), int(query["after"])
                )
                stored = await self.platform.watch(key, after)
            finally:
                self.watches.remove(scope)
            return value_response(stored)
        return Response(status_code=204)

    def end_watches(self) -> None:
        """End every pending watch with status 204."""
        for scope in self.watches:
            scope.cancel()

    async def put(self, request: Request) -> Response:
        """Compare-and-swap a key."""
        key = request.path_params["key"]
        expected = ordered_revision(
            int(request.headers.get(EPOCH_HEADER, "0")),
            int(request.headers.get("If-Match", ABSENT)),
        )
        version = await self.platform.put(key, await request.body(), expected)
        return Response(headers=version_headers(version))

    async def delete(self, request: Request) -> Response:
        """Remove a key."""
        await self.platform.delete(request.path_params["key"])
        return Response(status_code=204)

    async def list_hosts(self, request: Request) -> Response:
        """Return the list of hosts."""
        hosts = await self.platform.list_hosts()
        return JSONResponse(
            {"live": sorted(hosts.live), "leaving": sorted(hosts.leaving)}
        )

    async def set_hosts(self, request: Request) -> Response:
        """Replace the list of hosts."""
        body = await request.json()
        self.platform.set_hosts(frozenset(body["live"]), frozenset(body["leaving"]))
        return Response(status_code=204)

    async def get_switches(self, request: Request) -> Response:
        """Return the switches."""
        return JSONResponse(asdict(self.platform.switches))

    async def set_switches(self, request: Request) -> Response:
        """Replace the switches; omitted ones return to their defaults."""
        try:
            switches = SWITCHES.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"message": str(error)}, status_code=400)
        self.platform.set_switches(switches)
        return Response(status_code=204)


def value_response(stored: StoredValue) -> Response:
    """Return a response with a value and its version."""
    return Response(stored.value, headers=version_headers(stored.version))


def version_headers(version: int) -> dict[str, str]:
    """Return the headers that carry a version."""
    return {
        VERSION_HEADER: str(count_of(version)),
        EPOCH_HEADER: str(epoch_of(version)),
    }


async def handle_unavailable(request: Request, error: Exception) -> Response:
    """Return status 503 during an outage."""
    return JSONResponse({"message": str(error)}, status_code=503)


async def handle_outcome_unknown(request: Request, error: Exception) -> Response:
    """Return status 504, as a gateway does whose upstream has not answered."""
    return JSONResponse({"message": str(error)}, status_code=504)


async def handle_version_mismatch(request: Request, error: Exception) -> Response:
    """Return status 412 for a compare-and-swap with an outdated version."""
    return JSONResponse({"message": str(error)}, status_code=412)


async def handle_oversized_value(request: Request, error: Exception) -> Response:
    """Return status 413 for a value above the size limit."""
    return JSONResponse({"message": str(error)}, status_code=413)
