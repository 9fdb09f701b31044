"""Validation models for templates and account bodies."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Annotated, Any, Literal, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    JsonValue,
    TypeAdapter,
    ValidationError,
    field_validator,
    model_validator,
)

from citronspring.configuration.validation_errors import (
    configuration_error,
    escape,
    first_error_text,
)
from citronspring.entities import AccountLimits, Endpoint, ServiceAddress
from citronspring.entities import Protocol as IpProtocol
from citronspring.errors import ConfigurationError

#: Maximum number of service addresses, of targets and of zones of an account.
MAX_ACCOUNT_ITEMS = 512

#: Maximum size of a template as JSON, in bytes.
MAX_TEMPLATE_BYTES = 16_384


def canonical_ip(text: str) -> str:
    """Return an IP address in canonical form; raise ValueError if it is not unicast."""
    address: IPv4Address | IPv6Address = ip_address(text)
    if getattr(address, "scope_id", None):
        raise ValueError("the address must not have a scope")
    if getattr(address, "ipv4_mapped", None):
        raise ValueError("write it as an IPv4 address")
    if address.is_multicast or address.is_unspecified:
        raise ValueError("must be the address of a single host")
    return str(address)


def canonical_endpoint(text: str) -> str:
    """Return ``ip:port`` in canonical form."""
    endpoint = Endpoint.from_text(text)
    if not 0 < endpoint.port < 65536:
        raise ValueError("the port must be from 1 to 65535")
    return str(Endpoint(canonical_ip(endpoint.ip), endpoint.port))


IpText = Annotated[str, Field(max_length=64), AfterValidator(canonical_ip)]
EndpointText = Annotated[str, Field(max_length=80), AfterValidator(canonical_endpoint)]
Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
ParameterName = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
Text = Annotated[str, Field(max_length=1024)]


class StrictModel(BaseModel):
    """Base model that rejects unknown keys and does not convert types."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class ServiceAddressModel(StrictModel):
    """An address and port to which callers connect."""

    ip: IpText
    port: Port
    protocol: Literal["tcp", "udp"] = "tcp"

    def to_entity(self) -> ServiceAddress:
        """Return the service address entity."""
        return ServiceAddress(self.ip, self.port, IpProtocol[self.protocol.upper()])


class TargetModel(StrictModel):
    """A target of a client account."""

    target_id: Name
    tunnel: EndpointText
    zone: Name
    slots: int = Field(default=2, ge=1, le=10_000)
    max_connections: int = Field(default=2000, ge=1, le=1_000_000)
    health: EndpointText | None = None


class LimitsModel(StrictModel):
    """Limits of a client account, with the defaults of ``AccountLimits``."""

    max_connections: int = Field(default=100_000, ge=0, le=100_000_000)
    new_per_second: float = Field(default=10_000.0, ge=0, le=10_000_000)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)
    opening_timeout: float = Field(default=5.0, gt=0, le=60)
    tcp_idle_timeout: float = Field(default=3600.0, ge=1, le=604_800)
    udp_idle_timeout: float = Field(default=120.0, ge=1, le=86_400)

    def to_entity(self) -> AccountLimits:
        """Return the limits entity."""
        return AccountLimits(**self.model_dump())


class AccountModel(StrictModel):
    """A client account in which all references are replaced by parameters."""

    addresses: list[ServiceAddressModel] = Field(max_length=MAX_ACCOUNT_ITEMS)
    targets: list[TargetModel] = Field(max_length=MAX_ACCOUNT_ITEMS)
    zones: list[Name] = Field(max_length=MAX_ACCOUNT_ITEMS)
    limits: LimitsModel = Field(default_factory=LimitsModel)


#: Types that a parameter can have.
PARAMETER_TYPES: dict[str, TypeAdapter[Any]] = {
    "integer": TypeAdapter(Annotated[int, Field(strict=True, ge=-(2**53), le=2**53)]),
    "number": TypeAdapter(Annotated[float, Field(strict=True, allow_inf_nan=False)]),
    "text": TypeAdapter(Annotated[Text, Field(strict=True)]),
    "flag": TypeAdapter(Annotated[bool, Field(strict=True)]),
    "address": TypeAdapter(Annotated[IpText, Field(strict=True)]),
    "endpoint": TypeAdapter(Annotated[EndpointText, Field(strict=True)]),
    "addresses": TypeAdapter(
        Annotated[list[ServiceAddressModel], Field(max_length=MAX_ACCOUNT_ITEMS)]
    ),
    "targets": TypeAdapter(
        Annotated[
            list[dict[ParameterName, JsonValue]], Field(max_length=MAX_ACCOUNT_ITEMS)
        ]
    ),
    "zones": TypeAdapter(Annotated[list[Name], Field(max_length=MAX_ACCOUNT_ITEMS)]),
}

ParameterType = Literal[
    "integer",
    "number",
    "text",
    "flag",
    "address",
    "endpoint",
    "addresses",
    "targets",
    "zones",
]


class ParameterModel(StrictModel):
    """A typed parameter of a template."""

    type: ParameterType
    #: Value for accounts that give none; without a default every account must give one.
    default: JsonValue = None
    minimum: float | None = None
    maximum: float | None = None

    @property
    def required(self) -> bool:
        """Whether every account must give a value."""
        return self.default is None

    @model_validator(mode="after")
    def check_default(self) -> Self:
        """Check the default against the type and range of the parameter."""
        if self.default is not None:
            self.check(self.default)
        return self

    def check(self, value: object) -> Any:
        """Return a value in JSON form; raise ValueError if it is not valid."""
        adapter = PARAMETER_TYPES[self.type]
        try:
            checked = adapter.validate_python(value)
        except ValidationError as error:
            raise ValueError(first_error_text(error)) from error
        if isinstance(checked, (int, float)):
            self.check_range(checked)
        return adapter.dump_python(checked, mode="json", exclude_defaults=True)

    def check_range(self, value: float) -> None:
        """Raise ValueError if a number is outside the range."""
        if self.minimum is not None and value < self.minimum:
            raise ValueError(f"{escape(value)} is below {self.minimum}")
        if self.maximum is not None and value > self.maximum:
            raise ValueError(f"{escape(value)} is above {self.maximum}")


class BodyModel(StrictModel):
    """Body of a template, in which ``{name}`` refers to a parameter."""

    addresses: JsonValue = Field(default_factory=list)
    targets: JsonValue = Field(default_factory=list)
    zones: JsonValue = Field(default_factory=list)
    limits: dict[str, JsonValue] = Field(default_factory=dict)
    #: Defaults for the keys of targets.
    target_defaults: dict[str, JsonValue] = Field(default_factory=dict)

    @field_validator("limits")
    @classmethod
    def check_limits(cls, limits: dict[str, JsonValue]) -> dict[str, JsonValue]:
        """Refuse unknown limits."""
        return check_keys(limits, LimitsModel)

    @field_validator("target_defaults")
    @classmethod
    def check_defaults(cls, defaults: dict[str, JsonValue]) -> dict[str, JsonValue]:
        """Refuse defaults that are not keys of a target."""
        return check_keys(defaults, TargetModel)


class TemplateModel(StrictModel):
    """A template that operators write once for many client accounts."""

    name: Name
    parameters: dict[ParameterName, ParameterModel] = Field(default_factory=dict)
    body: BodyModel

    @classmethod
    def from_config(cls, raw: object) -> TemplateModel:
        """Validate a template; the ConfigurationError names the key and a remedy."""
        try:
            template = cls.model_validate(raw)
        except ValidationError as error:
            raise configuration_error(error, "template", cls) from error
        size = len(template.model_dump_json())
        if size > MAX_TEMPLATE_BYTES:
            raise ConfigurationError(
                f"template has {size} bytes", f"use at most {MAX_TEMPLATE_BYTES}"
            )
        return template


def check_keys(
    values: dict[str, JsonValue], model: type[BaseModel]
) -> dict[str, JsonValue]:
    """Return ``values``; raise ValueError if a key is not a field of the model."""
    unknown = sorted(set(values) - set(model.model_fields))
    if unknown:
        known = ", ".join(model.model_fields)
        raise ValueError(f"unknown key {escape(unknown[0])}; known keys are {known}")
    return values
