"""State of the token mode: routes, targets, flows, and assumptions about them."""

from __future__ import annotations

from citronspring.histogram import Histogram
from citronspring.host_settings import (
    DEFAULT_FLOW_LIFETIME,
    DEFAULT_ZONE_CROSSING_COST,
)
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, Counter, deque
from citronspring.records import field, record
from citronspring.tokens.rows import (
    AnswerRow,
    LinkUsage,
    LocalPath,
    OpenUploads,
    RequestSizeRow,
    RouteBytes,
    ServiceRow,
    ServiceTargets,
    ZoneRow,
)

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.entries import (
        Entry,
        FeedChange,
        RouteHistory,
        ZoneDrain,
        ZoneReader,
    )
    from citronspring.tokens.rows import (
        EarlierStart,
        FlowRow,
        RouteServiceRow,
        TargetRow,
    )

#: Largest number of flow rows of a host; further flows are forwarded by their token
#: alone. At about 500 bytes per row this is 25 MB of the 120 MB that the smallest host
#: has.
MAX_FLOWS = 50_000


@record
class Witness:
    """A request that its target has not acknowledged, as reported by a host."""

    host: str
    sent_at: float
    heard_at: float


@record
class OpenInquiry:
    """The open inquiry of a zone reader."""

    number: int
    deadline: float
    members: set[str]
    #: When the newest requests to each of the targets in question were sent.
    since: dict[int, float]
    replied: set[str]
    refuted: set[int]


@record
class InquiryState:
    """State of the zone reader's inquiries about unresponsive targets."""

    #: Reports by incarnation of the target.
    witnesses: dict[int, list[Witness]] = field(default_factory=dict)
    #: Hosts of the zone, with the time of their last poll of the change feed.
    members: dict[str, float] = field(default_factory=dict)
    number: int = 0
    open: OpenInquiry | None = None
    #: Times from which the zone may be asked about a target again, by incarnation.
    retry_at: dict[int, float] = field(default_factory=dict)
    #: When suspicions were refuted by answers of the targets.
    refuted_at: deque[float] = field(default_factory=deque)
    #: When an inquiry found no answer of a target, by its incarnation.
    unrefuted_at: dict[int, float] = field(default_factory=dict)


@record
class StoreReaderState:
    """How current the host's state is, and its next call to the store."""

    #: Largest revision of the store whose entries this host has applied.
    revision: int = 0
    #: False until a complete list has been applied, and after the history was lost.
    listed: bool = False
    #: Whether the tables equal the store at `revision`. Pages of a list are read one
    #: after the other, so the tables first equal it at a revision that a watch reaches.
    consistent: bool = False
    #: Revision at which they do at the latest: that of the last page.
    consistent_from: int = 0
    #: Time up to which this host has applied all changes.
    current_at: float = -INFINITY
    #: Time from which the next call may be made.
    call_at: float = 0.0
    #: Number of failures since the last answer.
    failures: int = 0
    #: Number of consecutive watches that ended with lost history.
    histories_lost: int = 0
    #: Whether the next call must not wait: the answer may bring a change that has long
    #: been applied elsewhere.
    wants_immediate_answer: bool = False
    #: Pages of the current list: revision of the first page, and the entries read so
    #: far.
    list_revision: int = 0
    list_entries: list[Entry] = field(default_factory=list)
    list_sent_at: float = 0.0
    next_key: str = ""


@record
class RestoreGrace:
    """Deadlines for rewriting entries that a restored store has lost."""

    #: Restore epoch in which they were found missing.
    epoch: int = 0
    targets_deadline: float = INFINITY
    operators_deadline: float = INFINITY

    @property
    def next_deadline(self) -> float:
        """Return the time at which the next missing entries count as removed."""
        return min(self.targets_deadline, self.operators_deadline)

    @property
    def awaits_targets(self) -> bool:
        """Whether the store may lack entries that running targets have written."""
        return self.targets_deadline < INFINITY

    @property
    def awaits_operators(self) -> bool:
        """Whether the store may lack entries that operators have written."""
        return self.operators_deadline < INFINITY


@record
class FollowState:
    """State of following the zone reader."""

    #: Whether the latest answer with store data came from the zone reader.
    following: bool = False
    #: Number of failures of the zone reader since its last valid answer.
    failures: int = 0
    #: Time from which it may be polled again.
    retry_at: float = 0.0


@record
class ElectionState:
    """State of this host in the election of the zone reader."""

    #: Number of the lease that it holds, 0 for none, and time at which that expires
    #: unless it is renewed.
    lease: int = 0
    lease_deadline: float = -INFINITY
    #: Time at which it claims the zone, provided that no zone reader is known by then.
    claim_at: float = INFINITY
    #: Time at which the lease is renewed next.
    renew_at: float = INFINITY
    #: Revision of the entry that registers it under a lease it does not know, such as
    #: one from before a restart.
    stale_revision: int = 0


@record
class LoggedChange:
    """A change with the store revision that this host had read up to at the time."""

    revision: int
    change: FeedChange
    #: When this host read it.
    read_at: float
    #: Its encoding for followers; made for the first one that asks.
    text: str = ""


@record
class ChangeLog:
    """Changes that this host has applied, for followers; the oldest are dropped."""

    #: Changes of the answer that is being applied.
    pending: list[FeedChange] = field(default_factory=list)
    #: The log does not contain changes at or below this revision.
    compacted_revision: int = 0
    #: Ranges of revisions that were skipped, ascending, both ends excluded. The log
    #: does not contain entries that were added and removed within one.
    gaps: deque[tuple[int, int]] = field(default_factory=deque)
    #: Whether a list may continue the log, as this host knows all entries of the store
    #: at its revision. A snapshot of a peer omits those that the peer ignores.
    spans_lists: bool = False
    changes: deque[LoggedChange] = field(default_factory=deque)
    #: Token bucket for traffic to followers: rate in bytes per second, bytes available,
    #: and time of the last refill. Until the settings are known, the rate is that of a
    #: link of 1 Gbit/s.
    rate: float = 6_250_000.0
    bucket_level: float = 0.0
    bucket_updated_at: float = -INFINITY


@record
class RouteHistoryState:
    """What the store records of routes' services, and this host's writes of that."""

    #: Shards as last read from the store.
    shards: dict[int, RouteHistory] = field(default_factory=dict)
    #: Number of routes with several services.
    multi_service_routes: int = 0
    #: Earlier services that are still remembered, as (route, service).
    earlier: set[tuple[int, str]] = field(default_factory=set)
    #: Keys of routes whose record may have to be written.
    routes_to_check: set[int] = field(default_factory=set)
    #: When a shard was last applied, and when a write was last answered.
    applied_at: float = -INFINITY
    answered_at: float = -INFINITY
    #: Time of the next write; infinite until one is planned.
    write_at: float = INFINITY
    #: Number of planned delays, from which the next random delay is drawn.
    jitter_count: int = 0
    #: Packets forwarded to targets of earlier services, by route.
    packets: Counter[int] = field(default_factory=Counter)

    @property
    def is_used(self) -> bool:
        """Whether the store records services, or has to."""
        return bool(self.shards or self.earlier or self.multi_service_routes)


def make_histograms() -> dict[str, Histogram]:
    """Return the histograms of a host."""
    names = ("decision", "opening_answered", "store_call")
    return {name: Histogram() for name in names}


@record
class Tables:
    """All state of one host's token core."""

    host_id: str
    zone: str
    #: Number of other hosts that can be asked for a snapshot.
    peers: int = 0
    #: Revision of the applied configuration; it never decreases.
    configuration: int = 0
    idle_timeout: float = 15.0
    routes: dict[int, Route] = field(default_factory=dict)
    #: Services that each route has or had before, by name. A flow stays on its target
    #: when its route switches to another service.
    route_services: dict[int, dict[str, RouteServiceRow]] = field(default_factory=dict)
    route_history: RouteHistoryState = field(default_factory=RouteHistoryState)
    #: Longest lifetime of a flow in seconds.
    flow_lifetime: float = DEFAULT_FLOW_LIFETIME
    targets: dict[str, TargetRow] = field(default_factory=dict)
    #: Targets whose entry in the store is not the one in their row, or that have none:
    #: it cannot be decoded, or is of an earlier start.
    ignored_entries: set[str] = field(default_factory=set)
    #: Those of them that are of an earlier start, by target.
    earlier_starts: dict[str, EarlierStart] = field(default_factory=dict)
    by_token: dict[int, TargetRow] = field(default_factory=dict)
    #: Registered targets of each service, including those that are leaving.
    by_service: dict[str, list[TargetRow]] = field(default_factory=dict)
    #: The same targets, those of this host's zone apart from the others.
    targets_by_zone: dict[str, ServiceTargets] = field(default_factory=dict)
    #: Targets in warm-up of the last list, with the time at which that ends.
    listed_warmups: dict[str, float] = field(default_factory=dict)
    zones: dict[str, ZoneRow] = field(default_factory=dict)
    services: dict[str, ServiceRow] = field(default_factory=dict)
    #: Answer sizes by route.
    answers: dict[int, AnswerRow] = field(default_factory=dict)
    #: Answered requests since the last sample of the link: route, and bytes.
    answered_requests: list[tuple[int, int]] = field(default_factory=list)
    #: Request sizes by route.
    request_sizes: dict[int, RequestSizeRow] = field(default_factory=dict)
    #: Bytes of requests and answers by route.
    route_bytes: dict[int, RouteBytes] = field(default_factory=dict)
    #: See `DEFAULT_ZONE_CROSSING_COST`.
    zone_crossing_cost: float = DEFAULT_ZONE_CROSSING_COST
    #: Number of routes with each priority.
    priorities: Counter[int] = field(default_factory=Counter)
    #: Number of routes with each pair of priority and latency objective.
    objectives: Counter[tuple[int, float]] = field(default_factory=Counter)
    #: Capacity of the host's link in each direction, in bytes per second; infinite if
    #: there is no limit.
    link_rate: float = INFINITY
    link_usage: LinkUsage = field(default_factory=LinkUsage)
    uploads: OpenUploads = field(default_factory=OpenUploads)
    flows: dict[bytes, FlowRow] = field(default_factory=dict)
    local_path: LocalPath = field(default_factory=LocalPath)
    #: Unacknowledged retransmissions since the last event-loop iteration: target, and
    #: when the request was first sent.
    suspected: list[tuple[TargetRow, float]] = field(default_factory=list)
    inquiry: InquiryState = field(default_factory=InquiryState)
    #: Heap of deadlines of unanswered openings, as (time, flow).
    opening_deadlines: list[tuple[float, bytes]] = field(default_factory=list)
    reader: StoreReaderState = field(default_factory=StoreReaderState)
    #: The registered zone reader of each zone.
    zone_readers: dict[str, ZoneReader] = field(default_factory=dict)
    #: Latest drain state of each zone that has ever been drained.
    zone_drains: dict[str, ZoneDrain] = field(default_factory=dict)
    restore_grace: RestoreGrace = field(default_factory=RestoreGrace)
    follow: FollowState = field(default_factory=FollowState)
    election: ElectionState = field(default_factory=ElectionState)
    change_log: ChangeLog = field(default_factory=ChangeLog)
    #: When the last event-loop iteration began, and whether packets in the socket's
    #: queue may have waited for long.
    iteration_started_at: float = INFINITY
    stale: bool = False
    #: Whether they may have waited until routers sent their flows to other hosts.
    flows_moved: bool = False
    #: When expired rows are removed next.
    sweep_at: float = 0.0
    #: Latest time at which the host exits; None unless it is leaving.
    leave_deadline: float | None = None
    leaving_since: float = 0.0
    #: Time of the last packet, to detect that a leaving host is out of rotation.
    last_packet_at: float = 0.0
    counters: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, Histogram] = field(default_factory=make_histograms)

    @property
    def lowest_priority(self) -> int:
        """Largest priority number of a route, that of the least urgent one."""
        return max(self.priorities, default=0)

    @property
    def drained_zones(self) -> list[str]:
        """Zones whose targets get no new flows."""
        drains = self.zone_drains.values()
        return sorted(drain.zone for drain in drains if not drain.ended)

    def is_drained(self, zone: str) -> bool:
        """Whether the targets of a zone get no new flows."""
        drain = self.zone_drains.get(zone)
        return drain is not None and not drain.ended

    def zone_row(self, zone: str) -> ZoneRow:
        """Return the row of a zone, creating it if needed."""
        row = self.zones.get(zone)
        if row is None:
            row = self.zones[zone] = ZoneRow()
        return row

    def answer_row(self, route: int) -> AnswerRow:
        """Return the answer sizes of a route, creating the row if needed."""
        row = self.answers.get(route)
        if row is None:
            row = self.answers[route] = AnswerRow()
        return row

    def request_size_row(self, route: int) -> RequestSizeRow:
        """Return the request sizes of a route, creating the row if needed."""
        row = self.request_sizes.get(route)
        if row is None:
            row = self.request_sizes[route] = RequestSizeRow()
        return row

    def route_bytes_row(self, route: int) -> RouteBytes:
        """Return the byte counts of a route, creating the row if needed."""
        row = self.route_bytes.get(route)
        if row is None:
            row = self.route_bytes[route] = RouteBytes()
        return row

    def service_row(self, service: str) -> ServiceRow:
        """Return the row of a service, creating it if needed."""
        row = self.services.get(service)
        if row is None:
            row = self.services[service] = ServiceRow()
        return row
