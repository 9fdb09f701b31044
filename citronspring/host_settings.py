"""Settings of a host in token mode."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.records import record

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint


@record(eq=True)
class HostSettings:
    """What a process learns at start, checked by the adapter that read it."""

    host_id: str
    zone: str
    #: Where packets of callers arrive; callers are answered at the same port.
    packets: Endpoint
    #: Where readiness, metrics and the state dump are served.
    readiness: Endpoint
    #: Where peers ask for copies of what this host knows.
    peer_endpoint: Endpoint
    #: Where hosts of the zone tell each other of silent targets; the port is the
    #: same at all hosts.
    messages: Endpoint
    #: Where other hosts answer that; some may be gone.
    peers: tuple[Endpoint, ...]
    store: Endpoint
    #: Bytes a second that this host's link carries.
    link_rate: float
    #: Part of one processor core that this host may use.
    processor_share: float
    #: Seconds within which a change of configuration must be in force.
    change_bound: float
    #: Seconds after a trouble (a cut, an outage, a restart) from which that holds.
    settling_time: float
    #: Seconds from the signal to stop until the process is killed.
    stop_grace: float
