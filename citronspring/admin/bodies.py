"""Request bodies: read within bounds, and validated."""

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

#: Seconds a body may take to arrive.
BODY_TIMEOUT_SECONDS = 10.0

JSON_TYPE = "application/json"

Body = TypeVar("Body", bound="ChangeBody")


class ChangeBody(BaseModel):
    """What the body of every change may carry."""

    model_config = ConfigDict(extra="forbid", strict=True)

    #: Made once by the client and sent again with each retry.
    change_id: str | None = Field(default=None, min_length=1, max_length=100)
    #: Revision at which the operator saw the object; 0 expects none to exist.
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
    """Read and validate a body; an empty one counts as an empty object.

    Raises
    ------
    BodyTooLargeError, RequestTimeoutError, MalformedRequestError
        Each before anything was changed.
    """
    data = await receive_bytes(request, limit)
    if data and request.headers.get("content-type", "").partition(";")[0] != JSON_TYPE:
        raise MalformedRequestError(
            "the body is not announced as JSON", f"send Content-Type: {JSON_TYPE}"
        )
    return validate(parse(data) if data else {}, model)


async def receive_bytes(request: Request, limit: int) -> bytes:
    """Receive a body that may neither be large nor slow.

    Without the bounds a client could take a host's memory, or hold a connection
    for ever, and so stop the packets of every account.
    """
    data = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():
                data += chunk
                if len(data) > limit:
                    raise BodyTooLargeError(
                        f"the body has more than {limit} bytes", "send a smaller one"
                    )
    except TimeoutError:
        raise RequestTimeoutError(
            f"the body took more than {BODY_TIMEOUT_SECONDS:g} s", "send it again"
        ) from None
    except ClientDisconnect:
        raise MalformedRequestError("the body ended early", "send it again") from None
    return bytes(data)


def parse(data: bytes) -> Any:
    """Parse JSON, strictly; raises MalformedRequestError."""
    try:
        value = json.loads(data, parse_constant=refuse_constant)
        json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise MalformedRequestError(
            f"the body is not JSON: {escape(error)}", "send a JSON object in UTF-8"
        ) from None
    return value


def refuse_constant(name: str) -> None:
    """Refuse NaN and the infinities, which are not JSON."""
    raise ValueError(f"{name} is not a JSON number")


def validate(value: Any, model: type[Body]) -> Body:
    """Return a validated body; raises MalformedRequestError naming the key."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"]) or "body"
        message = f"{escape(key)}: {escape(first['msg'])}"
        known = ", ".join(model.model_fields)
        raise MalformedRequestError(message, f"known keys are {known}") from None
