"""Settings of a process: a TOML file, checked before anything starts."""

from __future__ import annotations

import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal, Self
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    PlainSerializer,
    SecretStr,
    ValidationError,
    model_validator,
)

from citronspring.balancer import DEFAULT_MAX_FLOWS
from citronspring.entities import Endpoint, Host
from citronspring.errors import SettingsError
from citronspring.settings_errors import cross_key_error, escape, settings_error

#: Port of the administration API unless the settings say otherwise.
DEFAULT_ADMIN_PORT = 8440

#: Sockets of a host that must differ from every other host's.
SOCKETS = ("tunnel", "relay", "control")


def read_endpoint(value: object) -> Endpoint:
    """Read ``ip:port`` text; raises ValueError on anything else."""
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise ValueError("must be text of the form 'ip:port'")
    _, _, port = value.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        raise ValueError("must be of the form 'ip:port'")
    return Endpoint.from_text(value)


def check_endpoint(value: Endpoint) -> Endpoint:
    """Refuse a port outside 1 to 65535, and what is no host's address."""
    if not 0 < value.port < 65536:
        raise ValueError("the port must be 1 to 65535")
    return Endpoint(check_ip(value.ip), value.port)


def check_ip(text: str) -> str:
    """Return an address in its canonical form, if one host can have it."""
    try:
        address = ip_address(text)
    except ValueError:
        raise ValueError("must hold an IP number, no host name") from None
    if address.is_unspecified or address.is_multicast or "%" in text:
        raise ValueError("must be an address that one host can have")
    return str(address)


def check_url(url: str) -> str:
    """Refuse what is no HTTP URL."""
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be a URL such as 'http://10.20.0.10:8500'")
    return url


EndpointText = Annotated[
    Endpoint,
    BeforeValidator(read_endpoint),
    AfterValidator(check_endpoint),
    PlainSerializer(str),
]
IpText = Annotated[str, AfterValidator(check_ip)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]
Seconds = Annotated[float, Field(strict=True, gt=0, le=3600, allow_inf_nan=False)]
Count = Annotated[int, Field(strict=True, gt=0, le=2**31)]


class Section(BaseModel):
    """Base of all sections: an unknown key is an error, never ignored."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def known_keys() -> set[str]:
    """Return the keys of all sections."""
    return {key for section in Section.__subclasses__() for key in section.model_fields}


class HostSection(Section):
    """Identity and sockets of a host; also each entry of ``[[peers]]``."""

    id: Name
    zone: Name
    group: Name = "default"
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
    sources: tuple[IpText, ...] = ()


class PlatformSection(Section):
    """The platform's key-value service."""

    url: Annotated[str, AfterValidator(check_url)]
    #: Every availability zone; an address moves between client accounts only
    #: once all of them have let it go.
    zones: Annotated[tuple[Name, ...], Field(min_length=1)]


class LimitsSection(Section):
    """Bounds of this process."""

    max_flows: Count = DEFAULT_MAX_FLOWS
    #: Seconds a stopping host may serve what is in flight.
    leave_seconds: Seconds = 30.0


class ControlSection(Section):
    """The key by which hosts know each other's control datagrams."""

    #: Hexadecimal, at least 16 bytes; better kept in a file.
    key: SecretStr | None = None
    #: File that holds the key.
    key_file: str | None = None
    #: Accepted as well while keys are being replaced.
    previous_key: SecretStr | None = None
    previous_key_file: str | None = None

    @model_validator(mode="after")
    def check_keys(self) -> Self:
        """Require one place for each key, and a key before a previous one."""
        if self.key is not None and self.key_file is not None:
            raise cross_key_error("key_file", "(hidden)", "give either key or key_file")
        if self.previous_key is not None and self.previous_key_file is not None:
            remedy = "give either previous_key or previous_key_file"
            raise cross_key_error("previous_key", "(hidden)", remedy)
        if self.has_previous and not self.has_key:
            raise cross_key_error(
                "key", "", "give the key in use beside the previous one"
            )
        return self

    @property
    def has_key(self) -> bool:
        """Whether a key is given."""
        return self.key is not None or self.key_file is not None

    @property
    def has_previous(self) -> bool:
        """Whether a previous key is given."""
        return self.previous_key is not None or self.previous_key_file is not None


class TokenSection(Section):
    """A bearer token of the administration API; the value is kept elsewhere."""

    name: Name
    role: Literal["read", "operate"]
    #: File that holds the token.
    file: str | None = None
    #: Environment variable that holds the token.
    env: str | None = None

    @model_validator(mode="after")
    def check_source(self) -> Self:
        """Require exactly one place to read the token from."""
        if (self.file is None) == (self.env is None):
            remedy = "name either a file or an environment variable (env)"
            raise cross_key_error("", self.name, remedy)
        return self


class AdminSection(Section):
    """The administration API."""

    #: Unless given, port 8440 of the address of the host's control socket.
    listen: EndpointText | None = None
    #: PEM files; with neither, the API is served in clear text.
    certificate_file: str | None = None
    key_file: str | None = None
    tokens: tuple[TokenSection, ...] = ()
    #: Largest request body, bytes.
    max_body_bytes: Count = 1_000_000
    #: Requests a second that each token may make, and how many at once.
    requests_per_second: Annotated[float, Field(strict=True, gt=0, le=1e6)] = 20.0
    burst: Count = 40

    @model_validator(mode="after")
    def check_admin(self) -> Self:
        """Require a certificate with its key, and names that differ."""
        if (self.certificate_file is None) != (self.key_file is None):
            given = "certificate_file" if self.certificate_file else "key_file"
            remedy = "give certificate_file and key_file together"
            raise cross_key_error(given, getattr(self, given), remedy)
        names = [token.name for token in self.tokens]
        for index, name in enumerate(names):
            if name in names[:index]:
                raise cross_key_error(
                    f"tokens.{index}.name", name, "name each token once"
                )
        return self


class LogsSection(Section):
    """How log events are written."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(Section):
    """All settings of one host process."""

    host: HostSection
    fabric: FabricSection
    platform: PlatformSection
    peers: tuple[HostSection, ...] = ()
    limits: LimitsSection = LimitsSection()
    control: ControlSection = ControlSection()
    admin: AdminSection = AdminSection()
    logs: LogsSection = LogsSection()

    @classmethod
    def from_toml(cls, path: Path) -> Settings:
        """Read and check a settings file.

        Raises
        ------
        SettingsError
            In one line, naming file, key, value and remedy.
        """
        try:
            return cls.model_validate(tomllib.loads(path.read_text("utf-8")))
        except ValidationError as error:
            raise settings_error(path, error, known_keys()) from None
        except OSError as error:
            message = f"{escape(path)}: cannot be read: {error.strerror}"
            raise SettingsError(message, "name a readable TOML file") from None
        except (ValueError, RecursionError) as error:
            message = f"{escape(path)}: {escape(error)}"
            raise SettingsError(message, "write it as TOML 1.0 in UTF-8") from None

    @property
    def admin_endpoint(self) -> Endpoint:
        """Where the administration API is to listen."""
        return self.admin.listen or Endpoint(self.host.control.ip, DEFAULT_ADMIN_PORT)

    def host_sections(self) -> list[tuple[str, HostSection]]:
        """Return this host and its peers with their keys."""
        peers = [(f"peers.{index}", peer) for index, peer in enumerate(self.peers)]
        return [("host", self.host), *peers]

    @model_validator(mode="after")
    def check_ids(self) -> Self:
        """Refuse two hosts of one id: each would take the other's flows."""
        seen: dict[str, str] = {}
        for key, section in self.host_sections():
            if section.id in seen:
                remedy = f"{seen[section.id]} has this id: give each host its own"
                raise cross_key_error(f"{key}.id", section.id, remedy)
            seen[section.id] = key
        return self

    @model_validator(mode="after")
    def check_zones(self) -> Self:
        """Refuse a host in a zone that is not listed.

        Nobody would wait for such a zone before an address moves to another
        account, and its hosts would send packets to the wrong one.
        """
        for key, section in self.host_sections():
            if section.zone not in self.platform.zones:
                remedy = "list it in platform.zones, or correct its spelling"
                raise cross_key_error(f"{key}.zone", section.zone, remedy)
        return self

    @model_validator(mode="after")
    def check_sockets(self) -> Self:
        """Refuse one address for two sockets: a packet would be misread."""
        seen: dict[Endpoint, str] = {}
        for key, section in self.host_sections():
            for name in SOCKETS:
                endpoint = getattr(section, name)
                if endpoint in seen:
                    remedy = f"{seen[endpoint]} is there already: use another port"
                    raise cross_key_error(f"{key}.{name}", endpoint, remedy)
                seen[endpoint] = f"{key}.{name}"
        return self

    @model_validator(mode="after")
    def check_control(self) -> Self:
        """Refuse control sockets that others reach when there is no key."""
        for key, section in self.host_sections():
            ip = section.control.ip
            if not self.control.has_key and not ip_address(ip).is_loopback:
                remedy = f"{key}.control is not on loopback: give all hosts one key"
                raise cross_key_error("control.key_file", "", remedy)
        return self

    @model_validator(mode="after")
    def check_fabric(self) -> Self:
        """Refuse a fabric address that is a host's.

        What comes from a fabric address counts as a caller's packet, so answers
        that another host relays would be taken for callers' and lost.
        """
        gateway = self.fabric.gateway
        named = [("fabric.gateway", gateway.ip, str(gateway))]
        for index, source in enumerate(self.fabric.sources):
            named.append((f"fabric.sources.{index}", source, source))
        for key, section in self.host_sections():
            ips = {getattr(section, name).ip for name in SOCKETS}
            for fabric_key, ip, value in named:
                if ip in ips:
                    remedy = f"{key} uses this address: give the fabric its own"
                    raise cross_key_error(fabric_key, value, remedy)
        return self
