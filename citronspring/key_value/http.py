"""HTTP client of the platform."""

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

#: Header with the version of a value.
VERSION_HEADER = "X-Version"

#: Header with the epoch: how often the service has been restored from a backup. It
#: reuses versions after a restore, so that a version is only unique within an epoch.
EPOCH_HEADER = "X-Epoch"

#: Timeout of a call in seconds.
CALL_TIMEOUT = 5.0

#: Seconds for which the service holds a long poll if the value does not change.
WATCH_SECONDS = 30.0

#: Failures that occur before any byte of a request is sent.
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

#: Status codes with which the service refuses a write for a specific reason.
REFUSAL_CODES = (
    httpx.codes.PRECONDITION_FAILED,
    httpx.codes.REQUEST_ENTITY_TOO_LARGE,
)


@dataclass(slots=True)
class PlatformClient:
    """Client of the platform's HTTP service, usable as an async context manager."""

    client: httpx.AsyncClient

    @classmethod
    def from_url(cls, url: str) -> PlatformClient:
        """Return a client of the service at ``url``."""
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
                    f"{key} has {len(value)} bytes, more than the platform accepts",
                    "use smaller accounts",
                )
        try:
            version = version_of(response)
        except ValueError as error:
            raise no_answer_error(key, error) from error
        if expected != ABSENT and epoch_of(version) != epoch_of(expected):
            # The service compared with a version of another epoch.
            raise no_answer_error(key, "the service was restored from a backup")
        return version

    async def delete(self, key: str) -> None:
        """Remove a key."""
        await self.write("DELETE", key, b"", {})

    async def watch(self, key: str, after_version: int) -> StoredValue:
        """Wait for a newer version by repeated long polls."""
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
        """Read the list of live and leaving hosts, which may lag behind."""
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
        """Send a GET request; a failed one never has an effect."""
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
        """Send a write, and distinguish "not sent" from "no response".

        A request that has left this process may still take effect later. A server
        error may come from a gateway instead of the service, so it also says nothing
        about the effect.
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
    """Return the URL path of a key."""
    return f"/values/{quote(key)}"


def condition_of(expected: int) -> dict[str, str]:
    """Return the headers that make a write conditional on a version."""
    if expected == ABSENT:
        return {"If-None-Match": "*"}
    return {
        "If-Match": str(count_of(expected)),
        EPOCH_HEADER: str(epoch_of(expected)),
    }


def version_of(response: httpx.Response) -> int:
    """Return the version in a response; raise ValueError if there is none."""
    epoch = int(response.headers.get(EPOCH_HEADER, "0"))
    return ordered_revision(epoch, int(response.headers.get(VERSION_HEADER, "")))


def stored_value(response: httpx.Response) -> StoredValue:
    """Return the value in a response, with its version."""
    try:
        return StoredValue(response.content, version_of(response))
    except ValueError as error:
        raise unreadable_error(response) from error


def unavailable_error(cause: object) -> PlatformUnavailableError:
    """Return the error for a call that the platform did not accept."""
    return PlatformUnavailableError(
        f"the platform did not accept the call ({cause!r})",
        "try again when it is available",
    )


def no_answer_error(key: str, cause: object) -> OutcomeUnknownError:
    """Return the error for a write without a usable response."""
    return OutcomeUnknownError(f"no response to the write of {key} ({cause!r})")


def unreadable_error(response: httpx.Response) -> PlatformUnavailableError:
    """Return the error for a malformed response to a read."""
    return PlatformUnavailableError(
        f"the platform responded with {response.status_code} and no valid value",
        "check that the platform's URL is that of the key-value service",
    )
