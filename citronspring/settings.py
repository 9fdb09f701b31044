"""Settings of a host process, read from a TOML file and validated at startup."""

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

#: Default port of the administration API.
DEFAULT_ADMIN_PORT = 8440

#: Sockets of a host, whose endpoints must be unique among all hosts.
SOCKETS = ("tunnel", "relay", "control")


def read_endpoint(value: object) -> Endpoint:
    """Parse ``ip:port`` text; raise ValueError for anything else."""
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise ValueError("must be text of the form 'ip:port'")
    _, _, port = value.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        raise ValueError("must be of the form 'ip:port'")
    return Endpoint.from_text(value)


def check_endpoint(value: Endpoint) -> Endpoint:
    """Refuse a port outside 1 to 65535, or an address that no single host can have."""
    if not 0 < value.port < 65536:
        raise ValueError("the port must be 1 to 65535")
    return Endpoint(check_ip(value.ip), value.port)


def check_ip(text: str) -> str:
    """Return an IP address in canonical form; raise ValueError if it is not unicast."""
    try:
        address = ip_address(text)
    except ValueError:
        raise ValueError("must be an IP address, not a host name") from None
    if address.is_unspecified or address.is_multicast or "%" in text:
        raise ValueError("must be the address of a single host")
    return str(address)


def check_url(url: str) -> str:
    """Refuse anything but an HTTP or HTTPS URL."""
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
    """Base class of all sections; an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def known_keys() -> set[str]:
    """Return the keys of all sections."""
    return {key for section in Section.__subclasses__() for key in section.model_fields}


class HostSection(Section):
    """Identity and sockets of a host; also used for the entries of ``[[peers]]``."""

    id: Name
    zone: Name
    group: Name = "default"
    tunnel: EndpointText
    relay: EndpointText
    control: EndpointText

    def to_host(self) -> Host:
        """Return the host entity of the decision core."""
        return Host(
            self.id, self.zone, self.group, self.tunnel, self.relay, self.control
        )


class FabricSection(Section):
    """Network fabric: where packets to callers go, and where callers' come from."""

    gateway: EndpointText
    #: Source addresses of packets from the fabric, in addition to the gateway's.
    sources: tuple[IpText, ...] = ()


class PlatformSection(Section):
    """The platform's key-value service."""

    url: Annotated[str, AfterValidator(check_url)]
    #: All availability zones. An address moves between client accounts only after all
    #: of them have confirmed its release.
    zones: Annotated[tuple[Name, ...], Field(min_length=1)]


class LimitsSection(Section):
    """Limits of this process."""

    max_flows: Count = DEFAULT_MAX_FLOWS
    #: Seconds for which a stopping host may still serve traffic in flight.
    leave_seconds: Seconds = 30.0


class ControlSection(Section):
    """Key with which hosts authenticate control datagrams."""

    #: Hexadecimal, at least 16 bytes; preferably kept in a file.
    key: SecretStr | None = None
    #: File that contains the key.
    key_file: str | None = None
    #: Also accepted, for a key rotation.
    previous_key: SecretStr | None = None
    previous_key_file: str | None = None

    @model_validator(mode="after")
    def check_keys(self) -> Self:
        """Allow one source for each key, and a previous key only with a current one."""
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
    """A bearer token of the administration API; its value is not in the settings."""

    name: Name
    role: Literal["read", "operate"]
    #: File that contains the token.
    file: str | None = None
    #: Environment variable that contains the token.
    env: str | None = None

    @model_validator(mode="after")
    def check_source(self) -> Self:
        """Require exactly one source of the token."""
        if (self.file is None) == (self.env is None):
            remedy = "name either a file or an environment variable (env)"
            raise cross_key_error("", self.name, remedy)
        return self


class AdminSection(Section):
    """The administration API."""

    #: Default: port 8440 on the address of the host's control socket.
    listen: EndpointText | None = None
    #: PEM files; without them the API is served in clear text.
    certificate_file: str | None = None
    key_file: str | None = None
    tokens: tuple[TokenSection, ...] = ()
    #: Maximum size of a request body in bytes.
    max_body_bytes: Count = 1_000_000
    #: Request rate and burst allowed for each token.
    requests_per_second: Annotated[float, Field(strict=True, gt=0, le=1e6)] = 20.0
    burst: Count = 40

    @model_validator(mode="after")
    def check_admin(self) -> Self:
        """Require a certificate together with its key, and unique token names."""
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
    """All settings of a host process."""

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
        """Read and validate a settings file.

        Raises
        ------
        SettingsError
            One line that names the file, the key, the value and a remedy.
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
        """Endpoint on which the administration API listens."""
        return self.admin.listen or Endpoint(self.host.control.ip, DEFAULT_ADMIN_PORT)

    def host_sections(self) -> list[tuple[str, HostSection]]:
        """Return the sections of this host and its peers, with their keys."""
        peers = [(f"peers.{index}", peer) for index, peer in enumerate(self.peers)]
        return [("host", self.host), *peers]

    @model_validator(mode="after")
    def check_ids(self) -> Self:
        """Refuse two hosts with one id: each would take over the other's flows."""
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

        Moves of addresses between client accounts do not wait for such a zone, so that
        its hosts would send packets to the wrong account.
        """
        for key, section in self.host_sections():
            if section.zone not in self.platform.zones:
                remedy = "list it in platform.zones, or correct its spelling"
                raise cross_key_error(f"{key}.zone", section.zone, remedy)
        return self

    @model_validator(mode="after")
    def check_sockets(self) -> Self:
        """Refuse one endpoint for two sockets: packets would be misinterpreted."""
        seen: dict[Endpoint, str] = {}
        for key, section in self.host_sections():
            for name in SOCKETS:
                endpoint = getattr(section, name)
                if endpoint in seen:
                    remedy = f"{seen[endpoint]} already uses it: use another port"
                    raise cross_key_error(f"{key}.{name}", endpoint, remedy)
                seen[endpoint] = f"{key}.{name}"
        return self

    @model_validator(mode="after")
    def check_control(self) -> Self:
        """Refuse control sockets outside loopback if there is no key."""
        for key, section in self.host_sections():
            ip = section.control.ip
            if not self.control.has_key and not ip_address(ip).is_loopback:
                remedy = (
                    f"{key}.control is not on loopback: give all hosts the same key"
                )
                raise cross_key_error("control.key_file", "", remedy)
        return self

    @model_validator(mode="after")
    def check_fabric(self) -> Self:
        """Refuse a fabric address that is also the address of a host.

        Packets from a fabric address are treated as callers' packets, so that answers
        relayed by such a host would be misinterpreted and lost.
        """
        gateway = self.fabric.gateway
        addresses = [("fabric.gateway", gateway.ip, str(gateway))]
        for index, source in enumerate(self.fabric.sources):
            addresses.append((f"fabric.sources.{index}", source, source))
        for key, section in self.host_sections():
            ips = {getattr(section, name).ip for name in SOCKETS}
            for fabric_key, ip, value in addresses:
                if ip in ips:
                    remedy = f"{key} uses this address: give the fabric its own"
                    raise cross_key_error(fabric_key, value, remedy)
        return self
