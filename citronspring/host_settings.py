"""Settings of a host in token mode."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record
from citronspring.tokens.load.crossing_cost import DEFAULT_ZONE_CROSSING_COST

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint


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
    #: Cost of leaving this host's zone, see `DEFAULT_ZONE_CROSSING_COST`.
    zone_crossing_cost: float = DEFAULT_ZONE_CROSSING_COST
