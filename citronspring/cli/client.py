"""Client of the administration API, which repeats what may be repeated."""

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

#: Times a request is sent, to one host after the other.
MAX_ATTEMPTS = 4

#: Longest wait between two attempts, seconds, whatever a host asks for.
MAX_RETRY_DELAY = 2.0

#: Seconds an answer may take. A host needs several calls of the platform for one.
RESPONSE_TIMEOUT_SECONDS = 20.0

#: Failures before any byte of a request went out.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)

Body = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Refused:
    """A host's final answer; it changed nothing."""

    error: RemoteError


@dataclass(frozen=True, slots=True)
class NotProcessed:
    """The request was not taken, and may be sent again."""

    reason: str
    error: RemoteError | None = None
    wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request may have been run; no answer tells."""

    reason: str
    wait_seconds: float = 0.0


Failure = Refused | NotProcessed | ResponseLost


@dataclass(slots=True)
class AdminClient:
    """Talks to the hosts that the command line names, in turn."""

    hosts: tuple[str, ...]
    client: httpx.Client
    sleep: Callable[[float], None] = time.sleep

    @classmethod
    def from_flags(
        cls, invocation: Invocation, hosts: tuple[str, ...] = ()
    ) -> AdminClient:
        """Make the client that the flags describe."""
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
        """Read from the first host that answers."""
        return self.send_with_retries("GET", path, None, "")

    def change(self, method: str, path: str, body: Body, change_id: str) -> Body:
        """Make a change, at most once however often it is sent.

        Raises
        ------
        OutcomeUnknownError
            Some answer was lost, and no later one settled it.
        RemoteError, UnreachableError
            Nothing was changed.
        """
        return self.send_with_retries(
            method, path, body | {"change_id": change_id}, change_id
        )

    def new_change_id(self) -> str:
        """Make a change id from the newest revision that a host knows."""
        revision = self.get("/v1/status").get("newest_revision")
        if type(revision) is not int:
            raise RemoteError("internal", "the status names no revision", "upgrade")
        return make_change_id(revision, uuid.uuid4().hex)

    def send_with_retries(
        self, method: str, path: str, body: Body | None, change_id: str
    ) -> Body:
        """Send a request until it has an answer, or the attempts are spent."""
        lost = ""
        failure: Failure = NotProcessed("no host is named")
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
                    lost = reason
                    self.wait(attempt, wait)
                case NotProcessed(wait_seconds=wait):
                    self.wait(attempt, wait)
        raise final_error(failure, lost if change_id else "", change_id)

    def wait(self, attempt: int, seconds: float) -> None:
        """Wait before the next attempt, and only once each host was asked."""
        if attempt + 1 < MAX_ATTEMPTS and (attempt + 1) % len(self.hosts) == 0:
            self.sleep(min(max(seconds, 0.2), MAX_RETRY_DELAY))

    def send(
        self, host: str, method: str, path: str, body: Body | None
    ) -> Result[Body, Failure]:
        """Send one request."""
        try:
            response = self.client.request(method, host + path, json=body)
        except NOT_SENT_ERRORS as error:
            return Error(NotProcessed(f"{host}: {error_text(error)}"))
        except (httpx.InvalidURL, UnicodeError) as error:
            message = f"{escape(host)} is no URL: {escape(error)}"
            raise UsageError(message, "give --host=http://ADDRESS:PORT") from None
        except httpx.HTTPError as error:
            return Error(ResponseLost(f"{host}: {error_text(error)}"))
        return classify_response(host, response)


def make_ssl_context(ca_file: str | None) -> ssl.SSLContext:
    """Return the certificates to trust."""
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ValueError) as error:
        message = f"--ca_file={escape(ca_file)}: {escape(error)}"
        raise UsageError(message, "name a PEM file of certificates") from None


def host_url(host: str) -> str:
    """Return the URL of a host that may be named without a scheme."""
    url = host if "://" in host else f"http://{host}"
    return url.rstrip("/")


def error_text(error: Exception) -> str:
    """Return why no answer came, in one line."""
    return escape(error) or type(error).__name__


def classify_response(host: str, response: httpx.Response) -> Result[Body, Failure]:
    """Sort a host's answer by what it says of the change."""
    try:
        content = response.json()
    except ValueError:
        content = None
    if not isinstance(content, dict):
        return Error(
            ResponseLost(f"{host}: answered {response.status_code} without JSON")
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


def one_line(text: object, instead: str) -> str:
    """Return text of a host on one line without control characters."""
    cleaned = " ".join(str(text or instead).split())
    return "".join(char for char in cleaned if char.isprintable())


def retry_after_seconds(response: httpx.Response) -> float:
    """Return the seconds a host asks to wait."""
    text = response.headers.get("retry-after", "")
    return float(text) if text.isascii() and text.isdecimal() else 0.0


def final_error(failure: Failure, lost: str, change_id: str) -> Exception:
    """Return the error that says what is known after the last attempt.

    Once an answer was lost, a later refusal proves nothing: it may have been made
    from a view older than the change.
    """
    if lost:
        message = f"outcome unknown: {lost}"
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
