"""Convert entities to generated Thrift structs and back, with validation."""

from __future__ import annotations

import ipaddress
import math
from typing import TYPE_CHECKING, Any, TypeVar

from citronspring.control.generated import ttypes
from citronspring.entities import (
    Account,
    AccountLimits,
    ChangeRecord,
    Endpoint,
    Host,
    HostState,
    Protocol,
    ServiceAddress,
    Target,
)
from citronspring.errors import ControlMessageError

if TYPE_CHECKING:
    from collections.abc import Callable

Item = TypeVar("Item")

#: Maximum length of a name or id in characters.
MAX_NAME = 1024

#: Maximum integer. A double represents every integer up to it exactly, and it is far
#: enough below the limit of 64 bits that adding to it does not overflow.
MAX_INTEGER = 1 << 53

STATES = {
    HostState.ALIVE: ttypes.HostState.ALIVE,
    HostState.SUSPECT: ttypes.HostState.SUSPECT,
    HostState.LEAVING: ttypes.HostState.LEAVING,
    HostState.DEAD: ttypes.HostState.DEAD,
}
STATES_BY_NUMBER = {number: state for state, number in STATES.items()}


def malformed_error(what: str) -> ControlMessageError:
    """Return the error for a field that is missing or invalid."""
    message = f"control message with a missing or invalid {what}"
    return ControlMessageError(message, "run the same release on all hosts")


def check_integer(value: int | None, what: str, highest: int = MAX_INTEGER) -> int:
    """Return an integer from 0 to ``highest``; raise an error for any other value."""
    if value is None or not 0 <= value <= highest:
        raise malformed_error(what)
    return value


def check_number(value: float | None, what: str) -> float:
    """Return a finite, non-negative number; raise an error for any other value."""
    if value is None or not math.isfinite(value) or value < 0.0:
        raise malformed_error(what)
    return value


def check_name(value: str | None, what: str) -> str:
    """Return a name; raise an error if it is empty or too long."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME:
        raise malformed_error(what)
    return value


def read_items(
    values: list[Any] | None, read: Callable[[Any], Item]
) -> tuple[Item, ...]:
    """Return the items of a list, each converted by ``read``."""
    return tuple(read(value) for value in values or ())


def write_ip(ip: str) -> bytes:
    """Return an address as 4 or 16 bytes."""
    return ipaddress.ip_address(ip).packed


def read_ip(packed: bytes | None) -> str:
    """Return an address as text."""
    if not isinstance(packed, bytes) or len(packed) not in (4, 16):
        raise malformed_error("address")
    return str(ipaddress.ip_address(packed))


def write_endpoint(endpoint: Endpoint) -> ttypes.Endpoint:
    """Return the struct of an endpoint."""
    return ttypes.Endpoint(write_ip(endpoint.ip), endpoint.port)


def read_endpoint(struct: ttypes.Endpoint | None) -> Endpoint:
    """Return an endpoint."""
    if struct is None:
        raise malformed_error("endpoint")
    return Endpoint(read_ip(struct.ip), check_integer(struct.port, "port", 65535))


def write_address(address: ServiceAddress) -> ttypes.ServiceAddress:
    """Return the struct of a service address."""
    packed = write_ip(address.ip)
    return ttypes.ServiceAddress(packed, address.port, int(address.protocol))


def read_address(struct: ttypes.ServiceAddress) -> ServiceAddress:
    """Return a service address."""
    if struct.protocol not in Protocol.__members__.values():
        raise malformed_error("protocol")
    port = check_integer(struct.port, "port", 65535)
    return ServiceAddress(read_ip(struct.ip), port, Protocol(struct.protocol))


def write_target(target: Target) -> ttypes.Target:
    """Return the struct of a target; the enclosing account struct holds its id."""
    return ttypes.Target(
        target_id=target.target_id,
        tunnel=write_endpoint(target.tunnel),
        zone=target.zone,
        slots=target.slots,
        max_connections=target.max_connections,
        health=None if target.health is None else write_endpoint(target.health),
        added_revision=target.added_revision,
        leaving_revision=target.leaving_revision,
    )


def read_target(struct: ttypes.Target, account_id: str) -> Target:
    """Return a target of an account."""
    leaving = struct.leaving_revision
    return Target(
        check_name(struct.target_id, "target"),
        account_id,
        read_endpoint(struct.tunnel),
        check_name(struct.zone, "zone"),
        check_integer(struct.slots, "number of slots"),
        check_integer(struct.max_connections, "limit"),
        None if struct.health is None else read_endpoint(struct.health),
        check_integer(struct.added_revision, "revision"),
        None if leaving is None else check_integer(leaving, "revision"),
    )


def write_limits(limits: AccountLimits) -> ttypes.AccountLimits | None:
    """Return the struct of limits; None for the default limits."""
    if limits == AccountLimits():
        return None
    return ttypes.AccountLimits(
        limits.max_connections,
        limits.new_per_second,
        limits.retry_ratio,
        limits.opening_timeout,
        limits.tcp_idle_timeout,
        limits.udp_idle_timeout,
    )


def read_limits(struct: ttypes.AccountLimits | None) -> AccountLimits:
    """Return limits."""
    if struct is None:
        return AccountLimits()
    return AccountLimits(
        check_integer(struct.max_connections, "limit"),
        check_number(struct.new_per_second, "rate"),
        check_number(struct.retry_ratio, "ratio"),
        check_number(struct.opening_timeout, "timeout"),
        check_number(struct.tcp_idle_timeout, "timeout"),
        check_number(struct.udp_idle_timeout, "timeout"),
    )


def write_account(account: Account) -> ttypes.Account:
    """Return the struct of an account."""
    return ttypes.Account(
        account.account_id,
        [write_address(address) for address in account.addresses],
        [write_target(target) for target in account.targets],
        list(account.zones),
        write_limits(account.limits),
    )


def read_account(struct: ttypes.Account) -> Account:
    """Return an account."""
    account_id = check_name(struct.account_id, "account")
    return Account(
        account_id,
        read_items(struct.addresses, read_address),
        read_items(struct.targets, lambda target: read_target(target, account_id)),
        read_items(struct.zones, lambda zone: check_name(zone, "zone")),
        read_limits(struct.limits),
    )


def write_record(record: ChangeRecord) -> ttypes.ChangeRecord:
    """Return the struct of a change record."""
    account = None if record.account is None else write_account(record.account)
    return ttypes.ChangeRecord(
        record.revision, record.change_id, record.account_id, account
    )


def read_record(struct: ttypes.ChangeRecord) -> ChangeRecord:
    """Return a change record; its account id is empty if no account changed."""
    account = None if struct.account is None else read_account(struct.account)
    record = ChangeRecord(
        check_integer(struct.revision, "revision"),
        check_name(struct.change_id, "change id"),
        check_name(struct.account_id, "account") if struct.account_id else "",
        account,
    )
    if account is not None and account.account_id != record.account_id:
        raise malformed_error("change record")
    return record


def write_host(host: Host) -> ttypes.Host:
    """Return the struct of a host; the enclosing struct holds its id."""
    return ttypes.Host(
        host.zone,
        host.group,
        write_endpoint(host.tunnel),
        write_endpoint(host.relay),
        write_endpoint(host.control),
    )


def read_host(struct: ttypes.Host, host_id: str) -> Host:
    """Return a host."""
    return Host(
        host_id,
        check_name(struct.zone, "zone"),
        check_name(struct.group, "group"),
        read_endpoint(struct.tunnel),
        read_endpoint(struct.relay),
        read_endpoint(struct.control),
    )
