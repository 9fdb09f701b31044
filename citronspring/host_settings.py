"""Settings of a host in token mode, and the fields of the table they are read from."""

from __future__ import annotations

from citronspring.errors import SettingsError
from citronspring.json_text import has_encoding
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from typing import Any

    from citronspring.endpoints import Endpoint

#: Longest lifetime of a flow in seconds, for settings that do not limit it.
DEFAULT_FLOW_LIFETIME = 3600.0

#: Load, in outstanding requests per slot, that a request and answer of up to 4 KB must
#: save for their flow to leave the home zone. It is below one request, so that the zone
#: only decides between targets that are about equally busy.
DEFAULT_ZONE_CROSSING_COST = 0.2


@record(eq=True)
class HostSettings:
    """Settings of a process, validated by the platform adapter that read them."""

    host_id: str
    zone: str
    #: Address at which callers' packets arrive; callers are answered at the same port.
    packets: Endpoint
    #: Address of the server for readiness, metrics and the state dump.
    readiness: Endpoint
    #: Address at which other hosts request peer snapshots and the change feed.
    peer_endpoint: Endpoint
    #: Address for datagrams between the hosts of a zone about unresponsive targets; the
    #: port is the same on all hosts.
    messages: Endpoint
    #: Addresses at which other hosts serve peer snapshots; some may have stopped.
    peers: tuple[Endpoint, ...]
    store: Endpoint
    #: Capacity of this host's link in bytes per second.
    link_rate: float
    #: Share of one processor core that this host may use.
    processor_share: float
    #: Seconds within which a change of configuration must take effect.
    change_bound: float
    #: Seconds after a disturbance (network partition, outage, restart) from which that
    #: holds again.
    settling_time: float
    #: Seconds from the stop signal until the process is killed.
    stop_grace: float
    #: ``link_rate`` if the settings give it, otherwise infinite: openings are refused
    #: for lack of room on the link only where its capacity is known.
    link_limit: float = INFINITY
    #: Longest lifetime of a flow in seconds.
    flow_lifetime: float = DEFAULT_FLOW_LIFETIME
    #: Cost of leaving this host's zone, see `DEFAULT_ZONE_CROSSING_COST`.
    zone_crossing_cost: float = DEFAULT_ZONE_CROSSING_COST


def section(table: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a table in the settings."""
    value = table.get(name)
    if not isinstance(value, dict):
        raise invalid_field(name, value, "a table")
    return value


def text_field(table: dict[str, Any], name: str) -> str:
    """Return a field that holds a non-empty string."""
    value = table.get(name)
    if not isinstance(value, str) or not value or not has_encoding(value):
        raise invalid_field(name, value, "a non-empty string")
    return value


def positive_field(
    table: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that holds a positive number, or the default if it is absent."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise invalid_field(name, value, "a number greater than 0")
    return float(value)


def invalid_field(name: str, value: object, expected: str) -> SettingsError:
    """Return the error for a field with an invalid value."""
    shown = "nothing" if value is None else repr(value)
    return SettingsError(f"{name} holds {shown}", f"give {expected}")
