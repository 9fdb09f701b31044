"""The JSON settings file that the platform writes for each process."""

from __future__ import annotations

from citronspring.addresses import parse_endpoint, parse_port
from citronspring.endpoints import Endpoint
from citronspring.errors import SettingsError
from citronspring.host_settings import (
    DEFAULT_FLOW_LIFETIME,
    DEFAULT_ZONE_CROSSING_COST,
    HostSettings,
    invalid_field,
    positive_field,
    section,
    text_field,
)
from citronspring.json_text import loads
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, getenv, stat

if TYPE_CHECKING:
    from typing import Any

#: Environment variable with the path of the settings file.
PATH_VARIABLE = "CITRONSPRING_BOOT"

#: Seconds in a millisecond; the platform gives times in milliseconds.
MILLISECOND = 0.001

#: Optional time bounds for a target's shutdown and a zone's drain to take effect. Both
#: arrive through the same watch as the configuration, so the shortest bound applies.
OTHER_CHANGE_BOUNDS = ("drain_ms", "evacuate_ms")

#: Bytes in a megabit; link rates are given in megabits per second.
BYTES_PER_MEGABIT = 125_000


def read_settings() -> HostSettings:
    """Return the settings from the file that the environment variable names.

    Raises
    ------
    SettingsError
        If the file is missing or invalid.
    """
    path = getenv(PATH_VARIABLE)
    if not path:
        raise SettingsError(
            f"{PATH_VARIABLE} is not set", "set it to the path of the settings file"
        )
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        raise SettingsError(
            f"the settings file {path} cannot be read: {error.strerror}",
            f"create the file or correct {PATH_VARIABLE}",
        ) from error
    return decode_settings(content)


def settings_version() -> int:
    """Return a number that changes whenever the settings file changes."""
    try:
        return stat(getenv(PATH_VARIABLE) or "").st_mtime_ns
    except OSError:
        # The file may be missing while it is replaced; the next check finds it.
        return 0


def decode_settings(content: str | bytes) -> HostSettings:
    """Return the settings in a settings file.

    Raises
    ------
    SettingsError
        Gives the field, its value and what is expected.
    """
    try:
        table = loads(content)
    except ValueError as error:
        raise SettingsError(
            f"the settings are not valid JSON: {error}", "correct the reported line"
        ) from error
    if not isinstance(table, dict):
        raise SettingsError(
            "the settings are not a JSON object", "enclose the fields in braces"
        )
    bounds = section(table, "bounds")
    addresses = section(table, "listen_addrs")
    return HostSettings(
        host_id=text_field(table, "node_name"),
        zone=text_field(table, "zone"),
        packets=endpoint_field(addresses, "datagram_addr"),
        # The routers ask this address whether the host may receive flows.
        readiness=endpoint_field(addresses, "ready"),
        # The platform reserves this address for calls between the system's own hosts.
        peer_endpoint=endpoint_field(addresses, "control"),
        messages=message_endpoint(table),
        peers=peer_endpoints(table),
        store=endpoint_field(section(table, "platform"), "addr"),
        link_rate=limit_field(table, "link_mbps", 1000.0) * BYTES_PER_MEGABIT,
        processor_share=limit_field(table, "cpu_share", 1.0),
        # Time within which an operator's change must take effect.
        change_bound=tightest_change_bound(bounds),
        # Time after a disturbance from which the bound must hold again.
        settling_time=positive_field(bounds, "stable_window_ms") * MILLISECOND,
        # Time from the stop signal until the process is killed.
        stop_grace=positive_field(bounds, "grace_s"),
        link_limit=limit_field(table, "link_mbps", INFINITY) * BYTES_PER_MEGABIT,
        flow_lifetime=positive_field(
            {**bounds, **table}, "flow_ttl_s", DEFAULT_FLOW_LIFETIME
        ),
        zone_crossing_cost=positive_field(
            table, "zone_crossing_cost", DEFAULT_ZONE_CROSSING_COST
        ),
    )


def limit_field(table: dict[str, Any], name: str, default: float) -> float:
    """Return a limit of this host, or the default if it is not set."""
    limits = table.get("limits")
    return (
        positive_field(limits, name, default) if isinstance(limits, dict) else default
    )


def tightest_change_bound(bounds: dict[str, Any]) -> float:
    """Return the seconds within which changes of every kind must take effect."""
    others = [name for name in OTHER_CHANGE_BOUNDS if name in bounds]
    names = ["config_apply_ms", *others]
    return min(positive_field(bounds, name) for name in names) * MILLISECOND


def endpoint_field(table: dict[str, Any], name: str) -> Endpoint:
    """Return a field that holds an IPv4 address and a port."""
    value = text_field(table, name)
    try:
        return parse_endpoint(value)
    except ValueError as error:
        raise invalid_field(
            name, value, "an IPv4 address and a port, 10.0.0.1:8080"
        ) from error


def message_endpoint(table: dict[str, Any]) -> Endpoint:
    """Return the endpoint for datagrams between hosts, at the first internal port.

    Without internal ports it shares the port of the peer endpoint, which is TCP only.
    """
    copies = endpoint_field(section(table, "listen_addrs"), "control")
    ports = table.get("internal_ports")
    if not ports:
        return copies
    if not isinstance(ports, list):
        raise invalid_field("internal_ports", ports, "a list of ports")
    try:
        return Endpoint(copies.ip, parse_port(str(ports[0])))
    except ValueError as error:
        raise invalid_field("internal_ports", ports, "a list of ports") from error


def peer_endpoints(table: dict[str, Any]) -> tuple[Endpoint, ...]:
    """Return the addresses of the other hosts, without this host's own."""
    seeds = table.get("seeds", [])
    own = section(table, "listen_addrs").get("control")
    if not isinstance(seeds, list):
        raise invalid_field("seeds", seeds, "a list of addresses")
    try:
        return tuple(parse_endpoint(str(seed)) for seed in seeds if seed != own)
    except ValueError as error:
        raise invalid_field("seeds", seeds, "IPv4 addresses with ports") from error
