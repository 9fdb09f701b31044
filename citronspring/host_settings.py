"""Settings of a host in token mode."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.records import record

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
    #: ``link_rate`` if the settings give it, otherwise infinite: openings are refused
    #: for lack of room on the link only where its capacity is known.
    link_limit: float = INFINITY
