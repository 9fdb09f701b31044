"""An operation of the API: its path, who may call it, and its guard."""

from __future__ import annotations

import math
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from starlette.routing import Route

from citronspring.admin.bodies import ChangeBody, read_body
from citronspring.admin.errors import (
    ForbiddenError,
    InternalError,
    MalformedRequestError,
)
from citronspring.admin.problems import JsonResponse, problem_response
from citronspring.admin.tokens import Role
from citronspring.errors import CitronspringError, OutcomeUnknownError
from citronspring.events import (
    CHANGE_ACCEPTED,
    CHANGE_REFUSED,
    CHANGE_UNKNOWN,
    REQUEST_FAILED,
    TOKEN_REFUSED,
)
from citronspring.logs import log
from citronspring.tables import GcraLimiter

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

    from citronspring.admin.port import Configuration, HostProcess
    from citronspring.admin.tokens import Authenticator, Principal
    from citronspring.configuration.changes import AnyChange

#: Refused tokens that are logged, a second, so that guessing fills no log.
REFUSALS_LOGGED_PER_SECOND = 1.0
REFUSALS_LOGGED_BURST = 10.0


@dataclass(slots=True)
class Administration:
    """What all operations share."""

    host: HostProcess
    configuration: Configuration
    authenticator: Authenticator
    #: Seconds since the epoch, for what the configuration keeps.
    wall_clock: Callable[[], float] = time.time
    refusal_log_limit: GcraLimiter = field(default_factory=GcraLimiter)


@dataclass(slots=True)
class Call:
    """One request that was let in."""

    administration: Administration
    operation: Operation
    request: Request
    principal: Principal
    #: The change it makes, once known.
    change_id: str = ""

    @property
    def configuration(self) -> Configuration:
        """The configuration."""
        return self.administration.configuration

    @property
    def host(self) -> HostProcess:
        """The process of this host."""
        return self.administration.host

    def path(self, name: str) -> str:
        """Return a part of the path."""
        return str(self.request.path_params[name])

    async def read_change(self) -> ChangeBody:
        """Read the body of a change, and see that it has a change id."""
        model = self.operation.body or ChangeBody
        limit = self.host.settings.admin.max_body_bytes
        body = await read_body(self.request, model, limit)
        token = uuid.uuid4().hex
        self.change_id = body.change_id or self.configuration.new_change_id(token)
        return body

    async def commit(self, change: AnyChange) -> Response:
        """Commit a change and say at which revision it is in force."""
        now = self.administration.wall_clock()
        committed = await self.configuration.commit(change, now)
        log(
            CHANGE_ACCEPTED,
            author=self.principal.name,
            change_id=self.change_id,
            revision=committed.revision,
        )
        answer = {"revision": committed.revision, "change_id": self.change_id}
        return JsonResponse(answer)


Handler = Callable[[Call], Awaitable["Response"]]


@dataclass(frozen=True, slots=True)
class Operation:
    """One method of one path."""

    method: str
    path: str
    role: Role
    handle: Handler
    #: What it does, in one line.
    summary: str
    #: Model of the body; None where it takes none.
    body: type[ChangeBody] | None = None

    def to_route(self, administration: Administration) -> Route:
        """Return the route of Starlette."""

        async def endpoint(request: Request) -> Response:
            return await answer(administration, self, request)

        return Route(self.path, endpoint, methods=[self.method])


async def answer(
    administration: Administration, operation: Operation, request: Request
) -> Response:
    """Answer a request; every error becomes a problem document."""
    call = None
    try:
        principal = admit(administration, operation, request)
        call = Call(administration, operation, request, principal)
        return await operation.handle(call)
    except CitronspringError as error:
        return error_response(error, call)
    except Exception as error:
        # One bad request must not end the process, which carries live flows.
        log(REQUEST_FAILED, path=operation.path, error=repr(error))
        return error_response(InternalError("the program has a fault", "see the log"))


def admit(
    administration: Administration, operation: Operation, request: Request
) -> Principal:
    """Return who calls, if they may."""
    authenticator = administration.authenticator
    now = administration.host.clock()
    if authenticator.allows_anonymous and "origin" in request.headers:
        # A web page that the operator visits could otherwise post to loopback.
        raise ForbiddenError("web pages may not call", "configure a token")
    try:
        principal = authenticator.authenticate(request.headers.get("authorization", ""))
        authenticator.admit(principal, now)
        if principal.role < operation.role:
            raise ForbiddenError(
                f"{principal.name} may not {operation.role.name.lower()}",
                "use a token with that role",
            )
    except CitronspringError as error:
        log_refusal(administration, error, operation, now)
        raise
    return principal


def log_refusal(
    administration: Administration,
    error: CitronspringError,
    operation: Operation,
    now: float,
) -> None:
    """Log that a token was refused, at a bounded rate."""
    limit = administration.refusal_log_limit
    if limit.admit(now, REFUSALS_LOGGED_PER_SECOND, REFUSALS_LOGGED_BURST):
        log(TOKEN_REFUSED, reason=error.message, path=operation.path)


def error_response(error: CitronspringError, call: Call | None = None) -> Response:
    """Return the problem document of an error, and log what it did to a change."""
    change_id = call.change_id if call else ""
    if call and change_id:
        unknown = isinstance(error, OutcomeUnknownError)
        event = CHANGE_UNKNOWN if unknown else CHANGE_REFUSED
        author = call.principal.name
        log(event, author=author, change_id=change_id, reason=str(error))
    return problem_response(error, change_id)


def read_revision(text: str | None) -> int | None:
    """Read ``if_revision`` of a query; raises MalformedRequestError."""
    if text is None:
        return None
    if text.isascii() and text.isdecimal() and len(text) <= 18:
        return int(text)
    raise MalformedRequestError("if_revision is no revision", "give a whole number")


def accepted_response(content: dict[str, object]) -> Response:
    """Return the answer to something that has only begun."""
    return JsonResponse(content, HTTPStatus.ACCEPTED.value)


def seconds_until(deadline: float, now: float) -> int:
    """Return whole seconds until a deadline."""
    return max(0, math.ceil(deadline - now))
