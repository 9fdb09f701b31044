"""Read request bodies, limited in size and time, and validate them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import ClientDisconnect

from citronspring.admin.errors import (
    BodyTooLargeError,
    MalformedRequestError,
    RequestTimeoutError,
)
from citronspring.settings_errors import escape

if TYPE_CHECKING:
    from starlette.requests import Request

#: Time-out for the complete body of a request, seconds.
BODY_TIMEOUT_SECONDS = 10.0

JSON_TYPE = "application/json"

Body = TypeVar("Body", bound="ChangeBody")


class ChangeBody(BaseModel):
    """Fields that the body of every change may have."""

    model_config = ConfigDict(extra="forbid", strict=True)

    #: Idempotency key: the client makes it once and sends it with every retry.
    change_id: str | None = Field(default=None, min_length=1, max_length=100)
    #: Expected current revision of the object; 0 if it must not exist yet.
    if_revision: int | None = Field(default=None, ge=0, le=2**63)


class PutTemplateBody(ChangeBody):
    """A template as the operator wrote it."""

    template: dict[str, Any]


class PutAccountBody(ChangeBody):
    """A client account as the operator wrote it."""

    #: Name of the template.
    template: str
    parameters: dict[str, Any] = Field(default_factory=dict)


async def read_body(request: Request, model: type[Body], limit: int) -> Body:
    """Return a validated body; an empty one counts as an empty object.

    Raises
    ------
    BodyTooLargeError, RequestTimeoutError, MalformedRequestError
        The body cannot be used; nothing was changed.
    """
    data = await receive_bytes(request, limit)
    if data and request.headers.get("content-type", "").partition(";")[0] != JSON_TYPE:
        raise MalformedRequestError(
            "the Content-Type of the body is not JSON",
            f"send Content-Type: {JSON_TYPE}",
        )
    return validate(parse(data) if data else {}, model)


async def receive_bytes(request: Request, limit: int) -> bytes:
    """Return the bytes of a body, limited in size and time.

    Without the limits a client could exhaust the host's memory or hold a connection
    for ever, and so stop the packets of every client account.
    """
    data = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():
                data += chunk
                if len(data) > limit:
                    raise BodyTooLargeError(
                        f"the body has more than {limit} bytes", "send a smaller body"
                    )
    except TimeoutError:
        raise RequestTimeoutError(
            f"the body did not arrive within {BODY_TIMEOUT_SECONDS:g} s",
            "send the request again",
        ) from None
    except ClientDisconnect:
        raise MalformedRequestError(
            "the client disconnected before the end of the body",
            "send the request again",
        ) from None
    return bytes(data)


def parse(data: bytes) -> Any:
    """Return the value of strict JSON; raises MalformedRequestError.

    NaN, infinities and lone surrogates are rejected: they cannot be written back as
    JSON in UTF-8.
    """
    try:
        value = json.loads(data, parse_constant=refuse_constant)
        json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise MalformedRequestError(
            f"the body is not JSON: {escape(error)}", "send a JSON object in UTF-8"
        ) from None
    return value


def refuse_constant(name: str) -> None:
    """Raise ValueError for NaN and the infinities, which are not JSON."""
    raise ValueError(f"{name} is not a JSON number")


def validate(value: Any, model: type[Body]) -> Body:
    """Return a validated body; raises MalformedRequestError that names the key."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"]) or "body"
        message = f"{escape(key)}: {escape(first['msg'])}"
        known = ", ".join(model.model_fields)
        raise MalformedRequestError(message, f"known keys are {known}") from None
