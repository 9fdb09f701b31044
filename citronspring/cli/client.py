"""Client of the administration API, which retries requests that are safe to retry."""

from __future__ import annotations

import ssl
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
from expression import Error, Ok, Result

from citronspring.cli.exit_codes import RemoteError, UnreachableError, UsageError
from citronspring.cli.files import read_token
from citronspring.configuration.changes import make_change_id
from citronspring.errors import OutcomeUnknownError
from citronspring.settings_errors import escape

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation

#: Maximum attempts of a request, sent to the hosts in turn.
MAX_ATTEMPTS = 4

#: Maximum delay between two attempts, seconds, whatever Retry-After says.
MAX_RETRY_DELAY = 2.0

#: Response time-out, seconds. A host makes several calls to the platform for one
#: response.
RESPONSE_TIMEOUT_SECONDS = 20.0

#: Errors that are raised before any byte of a request is sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Refused:
    """A host refused the request; nothing was changed, and a retry is of no use."""

    error: RemoteError


@dataclass(frozen=True, slots=True)
class NotProcessed:
    """The request was not processed; a retry is safe."""

    reason: str
    error: RemoteError | None = None
    wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The response was lost; the request may have been processed."""

    reason: str
    wait_seconds: float = 0.0


Failure = Refused | NotProcessed | ResponseLost


@dataclass(slots=True)
class AdminClient:
    """Client of the hosts named on the command line, which are tried in turn."""

    hosts: tuple[str, ...]
    client: httpx.Client
    sleep: Callable[[float], None] = time.sleep

    @classmethod
    def from_flags(
        cls, invocation: Invocation, hosts: tuple[str, ...] = ()
    ) -> AdminClient:
        """Return a client for the hosts, token and certificates in the flags."""
        token = read_token(invocation.flags["token_file"])
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        client = httpx.Client(
            headers=headers,
            timeout=RESPONSE_TIMEOUT_SECONDS,
            verify=make_ssl_context(invocation.flags["ca_file"]),
            trust_env=False,
        )
        named = hosts or tuple(invocation.flags["host"])
        return cls(tuple(host_url(host) for host in named), client)

    def get(self, path: str) -> Body:
        """Return the content of a path from the first host that answers."""
        return self.send_with_retries("GET", path, None, "")

    def change(self, method: str, path: str, body: Body, change_id: str) -> Body:
        """Send a change, which is committed at most once however often it is sent.

        Raises
        ------
        OutcomeUnknownError
            A response was lost, and no retry succeeded.
        RemoteError, UnreachableError
            Nothing was changed.
        """
        return self.send_with_retries(
            method, path, body | {"change_id": change_id}, change_id
        )

    def new_change_id(self) -> str:
        """Return a change id made from the newest revision known to a host."""
        revision = self.get("/v1/status").get("newest_revision")
        if type(revision) is not int:
            raise RemoteError(
                "internal", "the status has no newest_revision", "upgrade"
            )
        return make_change_id(revision, uuid.uuid4().hex)

    def send_with_retries(
        self, method: str, path: str, body: Body | None, change_id: str
    ) -> Body:
        """Send a request until it is answered or the attempts are used up."""
        lost_reason = ""
        failure: Failure = NotProcessed("no host is given")
        for attempt in range(MAX_ATTEMPTS):
            host = self.hosts[attempt % len(self.hosts)]
            result = self.send(host, method, path, body)
            if result.is_ok():
                return result.ok
            failure = result.error
            match failure:
                case Refused():
                    break
                case ResponseLost(reason, wait):
                    lost_reason = reason
                    self.wait_before_retry(attempt, wait)
                case NotProcessed(wait_seconds=wait):
                    self.wait_before_retry(attempt, wait)
        raise final_error(failure, lost_reason if change_id else "", change_id)

    def wait_before_retry(self, attempt: int, seconds: float) -> None:
        """Wait before the next attempt if each host has been tried equally often."""
        if attempt + 1 < MAX_ATTEMPTS and (attempt + 1) % len(self.hosts) == 0:
            self.sleep(min(max(seconds, 0.2), MAX_RETRY_DELAY))

    def send(
        self, host: str, method: str, path: str, body: Body | None
    ) -> Result[Body, Failure]:
        """Send a request once; return the content of the response or the failure."""
        try:
            response = self.client.request(method, host + path, json=body)
        except NOT_SENT_ERRORS as error:
            return Error(NotProcessed(f"{host}: {error_text(error)}"))
        except (httpx.InvalidURL, UnicodeError) as error:
            message = f"{escape(host)} is not a URL: {escape(error)}"
            raise UsageError(message, "give --host=http://ADDRESS:PORT") from None
        except httpx.HTTPError as error:
            return Error(ResponseLost(f"{host}: {error_text(error)}"))
        return classify_response(host, response)


def make_ssl_context(ca_file: str | None) -> ssl.SSLContext:
    """Return a TLS context that trusts the certificates in a file.

    Without a file it trusts the default ones of the system.
    """
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ValueError) as error:
        message = f"--ca_file={escape(ca_file)}: {escape(error)}"
        raise UsageError(message, "name a PEM file of certificates") from None


def host_url(host: str) -> str:
    """Return the URL of a host; the scheme is http if it has none."""
    url = host if "://" in host else f"http://{host}"
    return url.rstrip("/")


def error_text(error: Exception) -> str:
    """Return the text of an exception, or its type if it has no text."""
    return escape(error) or type(error).__name__


def classify_response(host: str, response: httpx.Response) -> Result[Body, Failure]:
    """Return the content of a successful response, or the failure it stands for."""
    try:
        content = response.json()
    except ValueError:
        content = None
    if not isinstance(content, dict):
        return Error(
            ResponseLost(f"{host}: status {response.status_code} without a JSON object")
        )
    if response.is_success:
        return Ok(content)
    wait = retry_after_seconds(response)
    error = RemoteError(
        str(content.get("kind", "error")),
        one_line(content.get("detail"), response.reason_phrase),
        one_line(content.get("remedy"), "see the host's log"),
    )
    match error.kind:
        case "outcome-unknown" | "internal" | "error":
            return Error(ResponseLost(f"{host}: {error.message}", wait))
        case "platform-unavailable" | "rate-limited":
            return Error(NotProcessed(f"{host}: {error.message}", error, wait))
    return Error(Refused(error))


def one_line(text: object, default: str) -> str:
    """Return text from a host on one line, without control characters."""
    cleaned = " ".join(str(text or default).split())
    return "".join(char for char in cleaned if char.isprintable())


def retry_after_seconds(response: httpx.Response) -> float:
    """Return the value of Retry-After in seconds, 0 without one."""
    text = response.headers.get("retry-after", "")
    return float(text) if text.isascii() and text.isdecimal() else 0.0


def final_error(failure: Failure, lost_reason: str, change_id: str) -> Exception:
    """Return the error to raise after the last attempt.

    After a lost response, a later refusal does not prove that the change was not
    committed: the refusing host may not have known the change yet.
    """
    if lost_reason:
        message = f"outcome unknown: {lost_reason}"
        if isinstance(failure, Refused):
            message = f"{message}; then refused: {failure.error.message}"
        return OutcomeUnknownError(message, f"repeat with --change_id={change_id}")
    match failure:
        case Refused(error):
            return error
        case NotProcessed(_, RemoteError() as error):
            return error
        case NotProcessed(reason) if change_id:
            remedy = "nothing was changed; name another host with --host"
            return UnreachableError(reason, remedy)
        case NotProcessed(reason) | ResponseLost(reason):
            return UnreachableError(reason, "name another host with --host")
