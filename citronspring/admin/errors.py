"""Errors that only the administration API answers with."""

from __future__ import annotations

from citronspring.errors import CitronspringError


class MalformedRequestError(CitronspringError):
    """A request is not of the form the API documents."""

    kind = "malformed-request"


class UnauthorizedError(CitronspringError):
    """A request carries no known token."""

    kind = "unauthorized"


class ForbiddenError(CitronspringError):
    """A token's role does not allow the request."""

    kind = "forbidden"


class MethodNotAllowedError(CitronspringError):
    """A path does not take the method."""

    kind = "method-not-allowed"


class RequestTimeoutError(CitronspringError):
    """A request's body did not arrive in time."""

    kind = "request-timeout"


class BodyTooLargeError(CitronspringError):
    """A request's body is larger than the settings allow."""

    kind = "body-too-large"


class RateLimitedError(CitronspringError):
    """A token makes more requests than the settings allow.

    Parameters
    ----------
    message, remedy : str
        As for every error.
    wait_seconds : float
        Seconds after which a request is taken again.
    """

    kind = "rate-limited"

    def __init__(self, message: str, remedy: str, *, wait_seconds: float) -> None:
        self.wait_seconds = wait_seconds
        super().__init__(message, remedy)


class InternalError(CitronspringError):
    """The program has a fault."""

    kind = "internal"
