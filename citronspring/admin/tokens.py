"""Bearer tokens, their roles and rate limits."""

from __future__ import annotations

import hashlib
import hmac
import os
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING

from citronspring.admin.errors import RateLimitedError, UnauthorizedError
from citronspring.errors import SettingsError
from citronspring.tables import GcraLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.settings import AdminSection, TokenSection

#: Minimum length of a token, bytes. A shorter one could be found by trial and error.
MIN_TOKEN_BYTES = 16

#: Author of a change when no token is configured.
LOOPBACK_AUTHOR = "loopback"

BEARER_PREFIX = "bearer "


class Role(IntEnum):
    """Role of a token; a higher role includes the lower ones."""

    READ = 1
    OPERATE = 2


@dataclass(slots=True)
class Principal:
    """A user of the administration API."""

    #: Recorded as the author of changes.
    name: str
    role: Role
    #: SHA-256 of the token; empty if no token is needed.
    digest: bytes = field(default=b"", repr=False)
    limit: GcraLimiter = field(default_factory=GcraLimiter)


@dataclass(slots=True)
class Authenticator:
    """Checks tokens and rate limits of the principals."""

    principals: tuple[Principal, ...]
    requests_per_second: float
    burst: int

    @classmethod
    def from_settings(cls, section: AdminSection) -> Authenticator:
        """Read the tokens; without any, every client on loopback has all rights.

        Raises
        ------
        SettingsError
            A token cannot be used; the message names it without its value.
        """
        principals = tuple(read_principal(token) for token in section.tokens)
        check_unique_tokens(principals)
        if not principals:
            principals = (Principal(LOOPBACK_AUTHOR, Role.OPERATE),)
        return cls(principals, section.requests_per_second, section.burst)

    @property
    def allows_anonymous(self) -> bool:
        """Whether no token is configured."""
        return not self.principals[0].digest

    def authenticate(self, authorization: str) -> Principal:
        """Return the principal of an ``Authorization`` header.

        Every token is compared, each in constant time: the response time reveals
        neither how much of a guess is right nor which token it is close to.
        """
        if self.allows_anonymous:
            return self.principals[0]
        digest = token_digest(bearer_token(authorization))
        matching = None
        for principal in self.principals:
            if hmac.compare_digest(digest, principal.digest):
                matching = principal
        if matching is None:
            raise UnauthorizedError(
                "the request has no known token", "send 'Authorization: Bearer TOKEN'"
            )
        return matching

    def admit(self, principal: Principal, now: float) -> None:
        """Count a request; raises RateLimitedError above the rate limit."""
        if principal.limit.admit(now, self.requests_per_second, self.burst):
            return
        retry_at = principal.limit.retry_at(self.requests_per_second, self.burst)
        raise RateLimitedError(
            f"{principal.name} makes more than {self.requests_per_second:g} requests a "
            "second",
            "wait for the time in Retry-After",
            wait_seconds=retry_at - now,
        )


def bearer_token(authorization: str) -> bytes:
    """Return the token of an ``Authorization`` header, empty without one."""
    if not authorization.lower().startswith(BEARER_PREFIX):
        return b""
    return authorization[len(BEARER_PREFIX) :].strip().encode("latin-1", "replace")


def token_digest(token: bytes) -> bytes:
    """Return the digest by which a token is stored and compared."""
    return hashlib.sha256(token).digest()


def read_principal(section: TokenSection) -> Principal:
    """Return the principal of one token; raises SettingsError."""
    token = read_token(section).strip()
    if len(token) < MIN_TOKEN_BYTES:
        message = f"admin.tokens: {section.name} has fewer than {MIN_TOKEN_BYTES} bytes"
        raise SettingsError(message, "make a random one: openssl rand -hex 32")
    return Principal(section.name, Role[section.role.upper()], token_digest(token))


def read_token(section: TokenSection) -> bytes:
    """Return the value of a token from its file or environment variable."""
    if section.env is not None:
        if section.env not in os.environ:
            message = f"admin.tokens: {section.name}: {section.env} is not set"
            raise SettingsError(message, f"export {section.env} before the start")
        return os.environb[section.env.encode()]
    try:
        return Path(section.file or "").read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a valid file name"
        message = f"admin.tokens: {section.name}: {section.file!r}: {reason}"
        raise SettingsError(message, "name a readable file") from None


def check_unique_tokens(principals: Iterable[Principal]) -> None:
    """Raise SettingsError for one token under two names.

    The author and role of its requests would be ambiguous.
    """
    seen: dict[bytes, str] = {}
    for principal in principals:
        if principal.digest in seen:
            message = (
                f"admin.tokens: {principal.name} and {seen[principal.digest]} are equal"
            )
            raise SettingsError(message, "give each its own token")
        seen[principal.digest] = principal.name
