"""Bearer tokens, their roles and their rates."""

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

#: Shortest token, characters. A shorter one could be found by trying.
MIN_TOKEN_BYTES = 16

#: Who the author of a change is where no token is configured.
LOOPBACK_AUTHOR = "loopback"

BEARER_PREFIX = "bearer "


class Role(IntEnum):
    """What a token allows; a higher role allows what the lower ones do."""

    READ = 1
    OPERATE = 2


@dataclass(slots=True)
class Principal:
    """Who makes requests."""

    #: The author of changes.
    name: str
    role: Role
    #: SHA-256 of the token; empty where none is needed.
    digest: bytes = field(default=b"", repr=False)
    limit: GcraLimiter = field(default_factory=GcraLimiter)


@dataclass(slots=True)
class Authenticator:
    """Everyone who may make requests."""

    principals: tuple[Principal, ...]
    requests_per_second: float
    burst: int

    @classmethod
    def from_settings(cls, section: AdminSection) -> Authenticator:
        """Read the tokens; without any, whoever reaches loopback may do all.

        Raises
        ------
        SettingsError
            Naming the token, never its value.
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
        """Return who an ``Authorization`` header belongs to.

        Every token is compared, each in constant time: the time of the answer
        tells neither how much of a guess is right nor which token it is near.
        """
        if self.allows_anonymous:
            return self.principals[0]
        given = token_digest(bearer_token(authorization))
        found = None
        for principal in self.principals:
            if hmac.compare_digest(given, principal.digest):
                found = principal
        if found is None:
            raise UnauthorizedError(
                "no known token", "send 'Authorization: Bearer TOKEN'"
            )
        return found

    def admit(self, principal: Principal, now: float) -> None:
        """Count a request; raises RateLimitedError beyond the rate."""
        if principal.limit.admit(now, self.requests_per_second, self.burst):
            return
        retry_at = principal.limit.retry_at(self.requests_per_second, self.burst)
        raise RateLimitedError(
            f"{principal.name} makes more than {self.requests_per_second:g} requests a "
            "second",
            "wait as long as Retry-After says",
            wait_seconds=retry_at - now,
        )


def bearer_token(authorization: str) -> bytes:
    """Return the token of a header, empty when it has none."""
    if not authorization.lower().startswith(BEARER_PREFIX):
        return b""
    return authorization[len(BEARER_PREFIX) :].strip().encode("latin-1", "replace")


def token_digest(token: bytes) -> bytes:
    """Return the digest under which a token is kept and compared."""
    return hashlib.sha256(token).digest()


def read_principal(section: TokenSection) -> Principal:
    """Read one token from its file or environment variable."""
    token = read_token(section).strip()
    if len(token) < MIN_TOKEN_BYTES:
        message = f"admin.tokens: {section.name} has fewer than {MIN_TOKEN_BYTES} bytes"
        raise SettingsError(message, "make a random one: openssl rand -hex 32")
    return Principal(section.name, Role[section.role.upper()], token_digest(token))


def read_token(section: TokenSection) -> bytes:
    """Return a token's value."""
    if section.env is not None:
        if section.env not in os.environ:
            message = f"admin.tokens: {section.name}: {section.env} is not set"
            raise SettingsError(message, f"export {section.env} before the start")
        return os.environb[section.env.encode()]
    try:
        return Path(section.file or "").read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "no usable name"
        message = f"admin.tokens: {section.name}: {section.file!r}: {reason}"
        raise SettingsError(message, "name a readable file") from None


def check_unique_tokens(principals: Iterable[Principal]) -> None:
    """Refuse one token under two names: its author and role would be a guess."""
    seen: dict[bytes, str] = {}
    for principal in principals:
        if principal.digest in seen:
            message = (
                f"admin.tokens: {principal.name} and {seen[principal.digest]} are equal"
            )
            raise SettingsError(message, "give each its own token")
        seen[principal.digest] = principal.name
