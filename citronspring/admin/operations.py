"""Operations of the API: routes, access checks and error responses."""

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

#: Rate and burst of the log event for refused tokens, events a second and events.
#: Without the limit, someone who guesses tokens could fill the log.
REFUSALS_LOGGED_PER_SECOND = 1.0
REFUSALS_LOGGED_BURST = 10.0


@dataclass(slots=True)
class Administration:
    """State that all operations share."""

    host: HostProcess
    configuration: Configuration
    authenticator: Authenticator
    #: Returns Unix time, seconds, for the times stored with changes.
    wall_clock: Callable[[], float] = time.time
    refusal_log_limit: GcraLimiter = field(default_factory=GcraLimiter)


@dataclass(slots=True)
class Call:
    """One admitted request."""

    administration: Administration
    operation: Operation
    request: Request
    principal: Principal
    #: Id of the change that the request makes; empty until it is known.
    change_id: str = ""

    @property
    def configuration(self) -> Configuration:
        """The configuration in the platform."""
        return self.administration.configuration

    @property
    def host(self) -> HostProcess:
        """The host process that serves the API."""
        return self.administration.host

    def path_parameter(self, name: str) -> str:
        """Return the value of a path parameter."""
        return str(self.request.path_params[name])

    async def read_change(self) -> ChangeBody:
        """Return the body of a change; sets the change id, a new one if it has none."""
        model = self.operation.body or ChangeBody
        limit = self.host.settings.admin.max_body_bytes
        body = await read_body(self.request, model, limit)
        token = uuid.uuid4().hex
        self.change_id = body.change_id or self.configuration.new_change_id(token)
        return body

    async def commit(self, change: AnyChange) -> Response:
        """Commit a change; return a response with its revision."""
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
    """One HTTP method on one path."""

    method: str
    path: str
    role: Role
    handle: Handler
    #: One-line description.
    summary: str
    #: Model of the request body; None if the operation has none.
    body: type[ChangeBody] | None = None

    def to_route(self, administration: Administration) -> Route:
        """Return the Starlette route."""

        async def endpoint(request: Request) -> Response:
            return await handle_request(administration, self, request)

        return Route(self.path, endpoint, methods=[self.method])


async def handle_request(
    administration: Administration, operation: Operation, request: Request
) -> Response:
    """Return the response to a request; every error becomes a problem document."""
    call = None
    try:
        principal = admit(administration, operation, request)
        call = Call(administration, operation, request, principal)
        return await operation.handle(call)
    except CitronspringError as error:
        return error_response(error, call)
    except Exception as error:
        # An exception in a request must not end the process, which carries live flows.
        log(REQUEST_FAILED, path=operation.path, error=repr(error))
        return error_response(InternalError("internal error", "see the host's log"))


def admit(
    administration: Administration, operation: Operation, request: Request
) -> Principal:
    """Return the principal of a request; raises an error if it is not admitted."""
    authenticator = administration.authenticator
    now = administration.host.clock()
    if authenticator.allows_anonymous and "origin" in request.headers:
        # Without tokens, a web page that the operator visits could post to loopback.
        # Browsers name the page in Origin.
        raise ForbiddenError(
            "requests from web pages are forbidden", "configure a token"
        )
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
    """Log a refused token, at a limited rate."""
    limit = administration.refusal_log_limit
    if limit.admit(now, REFUSALS_LOGGED_PER_SECOND, REFUSALS_LOGGED_BURST):
        log(TOKEN_REFUSED, reason=error.message, path=operation.path)


def error_response(error: CitronspringError, call: Call | None = None) -> Response:
    """Return the problem document of an error; log the outcome of a change."""
    change_id = call.change_id if call else ""
    if call and change_id:
        unknown = isinstance(error, OutcomeUnknownError)
        event = CHANGE_UNKNOWN if unknown else CHANGE_REFUSED
        author = call.principal.name
        log(event, author=author, change_id=change_id, reason=str(error))
    return problem_response(error, change_id)


def read_revision(text: str | None) -> int | None:
    """Return ``if_revision`` of a query string; raises MalformedRequestError."""
    if text is None:
        return None
    if text.isascii() and text.isdecimal() and len(text) <= 18:
        return int(text)
    raise MalformedRequestError("if_revision is not a revision", "give a whole number")


def accepted_response(content: dict[str, object]) -> Response:
    """Return the response to an operation that has started but not finished."""
    return JsonResponse(content, HTTPStatus.ACCEPTED.value)


def seconds_until(deadline: float, now: float) -> int:
    """Return the whole seconds until a deadline, at least 0."""
    return max(0, math.ceil(deadline - now))
