"""The ASGI application of the administration API."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.exceptions import HTTPException

from citronspring.admin import configuration, status
from citronspring.admin.errors import MalformedRequestError, MethodNotAllowedError
from citronspring.admin.openapi import make_openapi_document
from citronspring.admin.operations import Administration, Call, Operation
from citronspring.admin.problems import JsonResponse, problem_response
from citronspring.admin.tokens import Authenticator, Role
from citronspring.errors import CitronspringError, NotFoundError

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

    from citronspring.admin.port import Configuration, HostProcess


async def show_openapi(call: Call) -> Response:
    """Return the OpenAPI document."""
    return JsonResponse(make_openapi_document(OPERATIONS))


#: Every operation of the API.
OPERATIONS = (
    *configuration.OPERATIONS,
    *status.OPERATIONS,
    Operation(
        "GET", "/v1/openapi.json", Role.READ, show_openapi, "Show this API as OpenAPI."
    ),
)


def make_application(host: HostProcess, store: Configuration) -> Starlette:
    """Return the ASGI application of one host.

    Raises
    ------
    SettingsError
        A token in the settings cannot be used.
    """
    authenticator = Authenticator.from_settings(host.settings.admin)
    administration = Administration(host, store, authenticator)
    routes = [operation.to_route(administration) for operation in OPERATIONS]
    return Starlette(
        routes=routes, exception_handlers={HTTPException: handle_http_exception}
    )


async def handle_http_exception(request: Request, error: Exception) -> Response:
    """Return the problem document of an error that Starlette raised."""
    return problem_response(translate_http_exception(error))


def translate_http_exception(error: Exception) -> CitronspringError:
    """Return the typed error for an exception of Starlette."""
    match error:
        case HTTPException(status_code=HTTPStatus.NOT_FOUND):
            return NotFoundError("no such path", "see /v1/openapi.json")
        case HTTPException(status_code=HTTPStatus.METHOD_NOT_ALLOWED):
            message = "the path does not support this method"
            return MethodNotAllowedError(message, "see /v1/openapi.json")
    return MalformedRequestError("the request is malformed", "see /v1/openapi.json")
