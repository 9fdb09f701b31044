"""Errors that only the administration API returns."""

from __future__ import annotations

from citronspring.errors import CitronspringError


class MalformedRequestError(CitronspringError):
    """A request does not have the documented form."""

    kind = "malformed-request"


class UnauthorizedError(CitronspringError):
    """A request has no known token."""

    kind = "unauthorized"


class ForbiddenError(CitronspringError):
    """A token's role does not allow the request."""

    kind = "forbidden"


class MethodNotAllowedError(CitronspringError):
    """A path does not support the method."""

    kind = "method-not-allowed"


class RequestTimeoutError(CitronspringError):
    """The body of a request did not arrive in time."""

    kind = "request-timeout"


class BodyTooLargeError(CitronspringError):
    """The body of a request is larger than the settings allow."""

    kind = "body-too-large"


class RateLimitedError(CitronspringError):
    """A token is used for more requests than the settings allow.

    Parameters
    ----------
    message, remedy : str
        As for every error.
    wait_seconds : float
        Seconds until the next request is admitted.
    """

    kind = "rate-limited"

    def __init__(self, message: str, remedy: str, *, wait_seconds: float) -> None:
        self.wait_seconds = wait_seconds
        super().__init__(message, remedy)


class InternalError(CitronspringError):
    """The processing of a request raised an unexpected exception."""

    kind = "internal"
