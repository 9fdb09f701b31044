"""The platform over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import httpx

from citronspring.errors import (
    ConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionMismatchError,
)
from citronspring.key_value.port import ABSENT, HostList, StoredValue
from citronspring.tokens.entries import count_of, epoch_of, ordered_revision

if TYPE_CHECKING:
    from types import TracebackType

#: Header that carries the version of a value.
VERSION_HEADER = "X-Version"

#: Header that tells how often the service has come back from an older copy. It gives
#: versions out again then, so a version means something only together with it.
EPOCH_HEADER = "X-Epoch"

#: Seconds after which a call counts as unanswered.
CALL_TIMEOUT = 5.0

#: Seconds the service holds a watch before it answers "nothing new".
WATCH_SECONDS = 30.0

#: Failures before any byte of a request went out.
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

#: Answers to a write that say why the service did not run it.
REFUSAL_CODES = (
    httpx.codes.PRECONDITION_FAILED,
    httpx.codes.REQUEST_ENTITY_TOO_LARGE,
)


@dataclass(slots=True)
class PlatformClient:
    """Client of the platform's HTTP service; an async context manager."""

    client: httpx.AsyncClient

    @classmethod
    def from_url(cls, url: str) -> PlatformClient:
        """Make a client of the service at ``url``."""
        return cls(httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT))

    async def __aenter__(self) -> PlatformClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def get(self, key: str) -> StoredValue | None:
        """Read a key."""
        response = await self.read(path_of(key))
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return stored_value(response)

    async def put(self, key: str, value: bytes, expected: int) -> int:
        """Compare-and-swap a key."""
        response = await self.write("PUT", key, value, condition_of(expected))
        match response.status_code:
            case httpx.codes.PRECONDITION_FAILED:
                raise VersionMismatchError(f"{key} is not at version {expected}")
            case httpx.codes.REQUEST_ENTITY_TOO_LARGE:
                raise ConfigurationError(
                    f"{key} has {len(value)} bytes, more than the platform takes",
                    "use smaller accounts",
                )
        try:
            version = version_of(response)
        except ValueError as error:
            raise no_answer_error(key, error) from error
        if expected != ABSENT and epoch_of(version) != epoch_of(expected):
            # The version that was compared is not the one that was expected.
            raise no_answer_error(key, "the service came back from an older copy")
        return version

    async def delete(self, key: str) -> None:
        """Remove a key."""
        await self.write("DELETE", key, b"", {})

    async def watch(self, key: str, after_version: int) -> StoredValue:
        """Wait for a newer version, by one long poll after the other."""
        query = {
            "after": str(count_of(after_version)),
            "epoch": str(epoch_of(after_version)),
            "wait": str(WATCH_SECONDS),
        }
        timeout = CALL_TIMEOUT + WATCH_SECONDS
        while True:
            response = await self.read(path_of(key), query, timeout)
            if response.status_code == httpx.codes.OK:
                return stored_value(response)

    async def list_hosts(self) -> HostList:
        """Read the lagging list of hosts."""
        response = await self.read("/hosts")
        try:
            body = response.json()
            return HostList(frozenset(body["live"]), frozenset(body["leaving"]))
        except (ValueError, KeyError, TypeError) as error:
            raise unreadable_error(response) from error

    async def read(
        self,
        path: str,
        query: dict[str, str] | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> httpx.Response:
        """Send a GET; any failure means that nothing was changed."""
        try:
            response = await self.client.get(path, params=query, timeout=timeout)
        except httpx.HTTPError as error:
            raise unavailable_error(error) from error
        if response.is_success or response.status_code == httpx.codes.NOT_FOUND:
            return response
        raise unavailable_error(response.status_code)

    async def write(
        self, method: str, key: str, value: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        """Send a write and tell "not sent" from "no answer".

        A request that left this process may take effect, even later. A server
        error comes from a gateway as often as from the service, so that it too
        says nothing about the effect.
        """
        try:
            response = await self.client.request(
                method, path_of(key), content=value, headers=headers
            )
        except NOT_SENT as error:
            raise unavailable_error(error) from error
        except httpx.HTTPError as error:
            raise no_answer_error(key, error) from error
        if response.is_success or response.status_code in REFUSAL_CODES:
            return response
        if response.is_client_error:
            raise unavailable_error(response.status_code)
        raise no_answer_error(key, response.status_code)


def path_of(key: str) -> str:
    """Return the path of a key."""
    return f"/values/{quote(key)}"


def condition_of(expected: int) -> dict[str, str]:
    """Return the header that makes a write conditional."""
    if expected == ABSENT:
        return {"If-None-Match": "*"}
    return {
        "If-Match": str(count_of(expected)),
        EPOCH_HEADER: str(epoch_of(expected)),
    }


def version_of(response: httpx.Response) -> int:
    """Read the version in an answer; raises ValueError when there is none."""
    epoch = int(response.headers.get(EPOCH_HEADER, "0"))
    return ordered_revision(epoch, int(response.headers.get(VERSION_HEADER, "")))


def stored_value(response: httpx.Response) -> StoredValue:
    """Read a value and its version from an answer."""
    try:
        return StoredValue(response.content, version_of(response))
    except ValueError as error:
        raise unreadable_error(response) from error


def unavailable_error(cause: object) -> PlatformUnavailableError:
    """Make the error of a call that was not taken."""
    return PlatformUnavailableError(
        f"the platform took no call ({cause!r})", "try again when it is back"
    )


def no_answer_error(key: str, cause: object) -> OutcomeUnknownError:
    """Make the error of a write without an answer."""
    return OutcomeUnknownError(f"no answer to the write of {key} ({cause!r})")


def unreadable_error(response: httpx.Response) -> PlatformUnavailableError:
    """Make the error of an answer to a read that follows no contract."""
    return PlatformUnavailableError(
        f"the platform answered {response.status_code} with no readable value",
        "check that the platform's URL names the key-value service",
    )
