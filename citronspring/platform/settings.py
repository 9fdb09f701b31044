"""The settings file that the platform writes for each process, as JSON."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.errors import SettingsError
from citronspring.host_settings import HostSettings
from citronspring.json_text import loads
from citronspring.light_stdlib import TYPE_CHECKING, getenv, stat
from citronspring.platform.addresses import parse_endpoint, parse_port

if TYPE_CHECKING:
    from typing import Any

#: Variable that holds the path of the settings file.
PATH_VARIABLE = "CITRONSPRING_BOOT"

#: Seconds in a millisecond; the platform counts in milliseconds.
MILLISECOND = 0.001

#: Bounds for what changes beside the configuration: that a target leaves, and that a
#: zone is to be emptied. One watch brings all of it, so that the tightest one counts.
OTHER_CHANGE_BOUNDS = ("drain_ms", "evacuate_ms")

#: Bytes in a megabit, as links are measured.
BYTES_PER_MEGABIT = 125_000


def read_settings() -> HostSettings:
    """Read the settings file that the environment names.

    Raises
    ------
    SettingsError
        If it is missing or does not describe a host.
    """
    path = getenv(PATH_VARIABLE)
    if not path:
        raise SettingsError(
            f"{PATH_VARIABLE} is not set", "set it to the path of the settings file"
        )
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise SettingsError(
            f"the settings {path} cannot be read: {error.strerror}",
            f"put the file there or correct {PATH_VARIABLE}",
        ) from error
    return decode_settings(text)


def settings_version() -> int:
    """Return a number that differs once the settings file has changed."""
    try:
        return stat(getenv(PATH_VARIABLE) or "").st_mtime_ns
    except OSError:
        # Between two versions the file may be missing; the next look finds it.
        return 0


def decode_settings(text: str) -> HostSettings:
    """Translate the text of a settings file.

    Raises
    ------
    SettingsError
        Names the field, its value and what is expected.
    """
    try:
        table = loads(text)
    except ValueError as error:
        raise SettingsError(
            f"the settings are no JSON: {error}", "mend the line that is named"
        ) from error
    if not isinstance(table, dict):
        raise SettingsError("the settings are no object", "write fields in braces")
    bounds = section(table, "bounds")
    addresses = section(table, "listen_addrs")
    return HostSettings(
        host_id=text_field(table, "node_name"),
        zone=text_field(table, "zone"),
        packets=endpoint_field(addresses, "datagram_addr"),
        # Answers the routers' question whether the host may get flows.
        readiness=endpoint_field(addresses, "ready"),
        # The platform keeps this address for calls between a system's own hosts.
        peer_endpoint=endpoint_field(addresses, "control"),
        messages=message_endpoint(table),
        peers=peer_endpoints(table),
        store=endpoint_field(section(table, "platform"), "addr"),
        link_rate=limit_field(table, "link_mbps", 1000.0) * BYTES_PER_MEGABIT,
        processor_share=limit_field(table, "cpu_share", 1.0),
        # How soon whatever operators change must be in force.
        change_bound=tightest_change_bound(bounds),
        # How long after a trouble that must hold again.
        settling_time=positive_field(bounds, "stable_window_ms") * MILLISECOND,
        # From the signal to stop until the process is killed.
        stop_grace=positive_field(bounds, "grace_s"),
    )


def section(table: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a table within the settings."""
    value = table.get(name)
    if not isinstance(value, dict):
        raise invalid_field(name, value, "a table")
    return value


def text_field(table: dict[str, Any], name: str) -> str:
    """Return a field that holds text."""
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise invalid_field(name, value, "text that is not empty")
    return value


def positive_field(table: dict[str, Any], name: str) -> float:
    """Return a field that holds a number above zero."""
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise invalid_field(name, value, "a number above 0")
    return float(value)


def limit_field(table: dict[str, Any], name: str, default: float) -> float:
    """Return a limit of this host; the default where none is set."""
    limits = table.get("limits")
    if not isinstance(limits, dict) or name not in limits:
        return default
    return positive_field(limits, name)


def tightest_change_bound(bounds: dict[str, Any]) -> float:
    """Return the seconds within which changes of every kind are in force."""
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
    """Return the first of the ports that a system's own hosts may use freely.

    Where none is named, that of copies: those come by connections, not datagrams.
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
    """Return the addresses of other hosts, without this host's own."""
    seeds = table.get("seeds", [])
    own = section(table, "listen_addrs").get("control")
    if not isinstance(seeds, list):
        raise invalid_field("seeds", seeds, "a list of addresses")
    try:
        return tuple(parse_endpoint(str(seed)) for seed in seeds if seed != own)
    except ValueError as error:
        raise invalid_field("seeds", seeds, "IPv4 addresses with ports") from error


def invalid_field(name: str, value: object, expected: str) -> SettingsError:
    """Return the error of a field that holds something else."""
    shown = "nothing" if value is None else repr(value)
    return SettingsError(f"{name} holds {shown}", f"give {expected}")
