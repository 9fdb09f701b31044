"""Errors as problem documents (RFC 9457)."""

from __future__ import annotations

import json
import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from starlette.responses import Response

from citronspring.admin.errors import RateLimitedError
from citronspring.errors import (
    ConflictError,
    MoveRefusedError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)

if TYPE_CHECKING:
    from citronspring.errors import CitronspringError

#: HTTP status by kind of error.
STATUS_BY_KIND = {
    "malformed-request": HTTPStatus.BAD_REQUEST,
    "unauthorized": HTTPStatus.UNAUTHORIZED,
    "forbidden": HTTPStatus.FORBIDDEN,
    "not-found": HTTPStatus.NOT_FOUND,
    "method-not-allowed": HTTPStatus.METHOD_NOT_ALLOWED,
    "request-timeout": HTTPStatus.REQUEST_TIMEOUT,
    "conflict": HTTPStatus.CONFLICT,
    "move-refused": HTTPStatus.CONFLICT,
    "body-too-large": HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    "invalid-configuration": HTTPStatus.UNPROCESSABLE_ENTITY,
    "rate-limited": HTTPStatus.TOO_MANY_REQUESTS,
    "platform-unavailable": HTTPStatus.SERVICE_UNAVAILABLE,
    "outcome-unknown": HTTPStatus.SERVICE_UNAVAILABLE,
    "stored-value": HTTPStatus.BAD_GATEWAY,
    "internal": HTTPStatus.INTERNAL_SERVER_ERROR,
}

#: Retry-After while the platform is unavailable, seconds.
OUTAGE_RETRY_SECONDS = 2

MEDIA_TYPE = "application/problem+json"


class JsonResponse(Response):
    """A JSON response, in ASCII so that any text of an operator can be encoded."""

    media_type = "application/json"

    def render(self, content: Any) -> bytes:
        """Return the body."""
        return json.dumps(content, allow_nan=False).encode("ascii")


class ProblemResponse(JsonResponse):
    """A problem document."""

    media_type = MEDIA_TYPE


def problem_response(error: CitronspringError, change_id: str = "") -> ProblemResponse:
    """Return the problem document of an error.

    Parameters
    ----------
    error : CitronspringError
        The error to report.
    change_id : str
        Change id of the request, with which the client can retry it.
    """
    status = STATUS_BY_KIND.get(error.kind, HTTPStatus.INTERNAL_SERVER_ERROR)
    body = {
        "type": f"urn:citronspring:problem:{error.kind}",
        "title": status.phrase,
        "status": status.value,
        "kind": error.kind,
        "detail": error.message,
        "remedy": error.remedy,
        **extra_members(error),
    }
    if change_id:
        body["change_id"] = change_id
    return ProblemResponse(body, status.value, error_headers(error))


def extra_members(error: CitronspringError) -> dict[str, Any]:
    """Return the members that only some kinds of errors have."""
    match error:
        case ConflictError():
            return {
                "other_change_id": error.change_id,
                "other_revision": error.revision,
                "difference": list(error.difference),
                "changed": "nothing",
            }
        case MoveRefusedError():
            return {"zones": list(error.zones), "changed": "nothing"}
        case OutcomeUnknownError():
            return {"changed": "unknown"}
        case PlatformUnavailableError():
            return {"changed": "nothing"}
    return {}


def error_headers(error: CitronspringError) -> dict[str, str]:
    """Return the headers of an error: when to retry, how to authenticate."""
    match error:
        case RateLimitedError():
            return {"Retry-After": str(max(1, math.ceil(error.wait_seconds)))}
        case PlatformUnavailableError() | OutcomeUnknownError():
            return {"Retry-After": str(OUTAGE_RETRY_SECONDS)}
    if error.kind == "unauthorized":
        return {"WWW-Authenticate": "Bearer"}
    return {}
