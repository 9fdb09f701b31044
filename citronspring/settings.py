"""Settings of a process: a TOML file, checked before anything starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from citronspring.balancer import DEFAULT_MAX_FLOWS
from citronspring.entities import Endpoint, Host
from citronspring.errors import SettingsError


def read_endpoint(value: object) -> Endpoint:
    """Read ``ip:port`` text; raises ValueError on anything else."""
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise ValueError("must be text of the form 'ip:port'")
    try:
        return Endpoint.from_text(value)
    except ValueError:
        raise ValueError("must be of the form 'ip:port'") from None


def check_endpoint(value: Endpoint) -> Endpoint:
    """Refuse a port outside 1 to 65535."""
    if not 0 < value.port < 65536:
        raise ValueError("the port must be 1 to 65535")
    return value


EndpointText = Annotated[
    Endpoint, BeforeValidator(read_endpoint), AfterValidator(check_endpoint)
]


class Section(BaseModel):
    """Base of all sections: an unknown key is an error, never ignored."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(Section):
    """Identity and sockets of a host; also each entry of ``[[peers]]``."""

    id: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    group: str = Field(default="default", min_length=1, max_length=64)
    tunnel: EndpointText
    relay: EndpointText
    control: EndpointText

    def to_host(self) -> Host:
        """Return the host as the decision core knows it."""
        return Host(
            self.id, self.zone, self.group, self.tunnel, self.relay, self.control
        )


class FabricSection(Section):
    """Where packets to callers go, and whose packets count as callers'."""

    gateway: EndpointText
    #: Addresses fabric packets come from; the gateway's own is always one.
    sources: tuple[str, ...] = ()


class PlatformSection(Section):
    """The platform's key-value service."""

    url: str
    #: Every availability zone; an address moves between client accounts only
    #: once all of them have let it go.
    zones: tuple[str, ...] = Field(min_length=1)


class LimitsSection(Section):
    """Bounds of this process."""

    max_flows: int = Field(default=DEFAULT_MAX_FLOWS, gt=0)
    #: Seconds a stopping host may serve what is in flight.
    leave_seconds: float = Field(default=30.0, gt=0, le=3600)


class Settings(Section):
    """All settings of one host process."""

    host: HostSection
    fabric: FabricSection
    platform: PlatformSection
    peers: tuple[HostSection, ...] = ()
    limits: LimitsSection = LimitsSection()

    @classmethod
    def from_toml(cls, path: Path) -> Settings:
        """Read and check a settings file.

        Raises
        ------
        SettingsError
            Naming file, key, value and remedy.
        """
        try:
            text = path.read_text()
        except OSError as error:
            message = f"{path}: cannot be read: {error.strerror}"
            raise SettingsError(message, "name a readable TOML file") from None
        try:
            return cls.model_validate(tomllib.loads(text))
        except tomllib.TOMLDecodeError as error:
            message = f"{path}: {error}"
            raise SettingsError(message, "write it as TOML 1.0") from None
        except ValidationError as error:
            raise settings_error(path, error) from None


def settings_error(path: Path, error: ValidationError) -> SettingsError:
    """Return the one-line error for the first finding of a check."""
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"])
    reason = first["msg"].removeprefix("Value error, ")
    if first["type"] == "missing":
        return SettingsError(f"{path}: {key} is missing", f"add {key}")
    if first["type"] == "extra_forbidden":
        message = f"{path}: {key} is not a known key"
        return SettingsError(message, "remove it or correct its spelling")
    message = f"{path}: {key} = {first['input']!r} is not valid"
    return SettingsError(message, reason[0].lower() + reason[1:])
