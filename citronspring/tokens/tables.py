"""Tables of the token mode: routes, targets, flows and what is believed of them."""

from __future__ import annotations

from citronspring.histogram import Histogram
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, Counter, deque
from citronspring.records import field, record
from citronspring.tokens.rows import AnswerRow, LocalPath, ServiceRow, ZoneRow

if TYPE_CHECKING:
    from citronspring.tokens.entities import Route
    from citronspring.tokens.entries import Entry, FeedChange, ZoneDrain, ZoneReader
    from citronspring.tokens.rows import FlowRow, TargetRow

#: Flows a host keeps a row of; the others are forwarded by their token alone. At
#: about 500 bytes a row this is 25 MB of the 120 MB that the smallest host has.
MAX_FLOWS = 50_000


@record
class Witness:
    """A request that its target has left without an acknowledgement."""

    host: str
    sent_at: float
    heard_at: float


@record
class OpenInquiry:
    """The question that is being asked."""

    number: int
    deadline: float
    members: set[str]
    #: When the newest requests to each target that it is about had been sent.
    since: dict[int, float]
    replied: set[str]
    refuted: set[int]


@record
class InquiryState:
    """What the reader of a zone hears from its hosts about silent targets."""

    #: Reports by start of a target.
    witnesses: dict[int, list[Witness]] = field(default_factory=dict)
    #: Hosts of the zone, with the time of their last question for news.
    members: dict[str, float] = field(default_factory=dict)
    number: int = 0
    open: OpenInquiry | None = None
    #: Times from which on the zone may be asked about a target again.
    retry_at: dict[int, float] = field(default_factory=dict)
    #: When targets that were reported turned out to have answered.
    refuted_at: deque[float] = field(default_factory=deque)
    #: When nobody had heard of a target that was asked about, by its start.
    unrefuted_at: dict[int, float] = field(default_factory=dict)


@record
class StoreReaderState:
    """How current the host's knowledge is, and what it asks the store next."""

    #: Largest revision of the store whose entries are in force here.
    revision: int = 0
    #: False until a complete list is in force, and after history was lost.
    listed: bool = False
    #: Time before which nothing changed that is not in force here.
    current_at: float = -INFINITY
    #: When the next call may go out.
    call_at: float = 0.0
    #: Failures since the last answer.
    failures: int = 0
    #: Times in a row that a watch was answered that history is lost.
    histories_lost: int = 0
    #: Set while an answer is wanted at once: it may bring a change that has long
    #: been in force elsewhere.
    wants_immediate_answer: bool = False
    #: Pages of the list under way: revision of the first, and what was read.
    list_revision: int = 0
    list_entries: list[Entry] = field(default_factory=list)
    list_sent_at: float = 0.0
    next_key: str = ""


@record
class RestoreGrace:
    """Until when entries that the store has lost may be written again."""

    #: Epoch of the store in which they were missed.
    epoch: int = 0
    targets_deadline: float = INFINITY
    operators_deadline: float = INFINITY

    @property
    def next_deadline(self) -> float:
        """Return the time at which something counts as gone."""
        return min(self.targets_deadline, self.operators_deadline)

    @property
    def awaits_targets(self) -> bool:
        """Whether the store may lack what targets that live have written."""
        return self.targets_deadline < INFINITY

    @property
    def awaits_operators(self) -> bool:
        """Whether the store may lack what operators have written."""
        return self.operators_deadline < INFINITY


@record
class FollowState:
    """How this host fares with the reader of its zone."""

    #: Whether the last answer about the store came from that reader.
    following: bool = False
    #: Failures of the reader since its last good answer.
    failures: int = 0
    #: When it may be asked again.
    retry_at: float = 0.0


@record
class ElectionState:
    """The part of this host in agreeing on the zone's reader."""

    #: The lease it holds, 0 for none, and when that ends unless it is renewed.
    lease: int = 0
    lease_deadline: float = -INFINITY
    #: When it registers itself, as long as no reader is known until then.
    claim_at: float = INFINITY
    #: When the lease is renewed next.
    renew_at: float = INFINITY
    #: Revision of the entry by which it is registered under a lease that it no longer
    #: knows, as one of before its start.
    stale_revision: int = 0


@record
class LoggedChange:
    """A change with the revision of the store up to which this host had read then."""

    revision: int
    change: FeedChange
    #: When this host read it.
    read_at: float
    #: As it is handed on; made for the first follower that asks.
    text: str = ""


@record
class ChangeLog:
    """Changes put in force here, for hosts that follow; the oldest are let go."""

    #: Changes of the answer that is being put in force.
    pending: list[FeedChange] = field(default_factory=list)
    #: Changes at or below this revision are not in the log.
    compacted_revision: int = 0
    #: Revisions that the last list has skipped, both ends not included. Of what came
    #: and went between them nothing is in the log.
    skipped: tuple[int, int] = (0, 0)
    changes: deque[LoggedChange] = field(default_factory=deque)
    #: Bytes a second that followers may cost, what of them is left, and since when;
    #: until the settings are known, as on a link of 1 Gbit/s.
    rate: float = 6_250_000.0
    bucket_level: float = 0.0
    bucket_updated_at: float = -INFINITY


def make_histograms() -> dict[str, Histogram]:
    """Return the histograms of a host."""
    names = ("decision", "opening_answered", "store_call")
    return {name: Histogram() for name in names}


@record
class Tables:
    """All state of one host's token core."""

    host_id: str
    zone: str
    #: Other hosts that can be asked for a copy.
    peers: int = 0
    #: Revision of the configuration in force; it never falls.
    configuration: int = 0
    idle_timeout: float = 15.0
    routes: dict[int, Route] = field(default_factory=dict)
    #: Services that each route has had since this process started. A flow stays on
    #: its target when its route turns to another service.
    route_services: dict[int, set[str]] = field(default_factory=dict)
    targets: dict[str, TargetRow] = field(default_factory=dict)
    by_token: dict[int, TargetRow] = field(default_factory=dict)
    #: Targets of each service that are registered, leaving ones too.
    by_service: dict[str, list[TargetRow]] = field(default_factory=dict)
    zones: dict[str, ZoneRow] = field(default_factory=dict)
    services: dict[str, ServiceRow] = field(default_factory=dict)
    #: Answers by route.
    answers: dict[int, AnswerRow] = field(default_factory=dict)
    #: Routes of each priority number.
    priorities: Counter[int] = field(default_factory=Counter)
    flows: dict[bytes, FlowRow] = field(default_factory=dict)
    local_path: LocalPath = field(default_factory=LocalPath)
    #: Requests sent again in vain since the last turn: target, and when sent first.
    suspected: list[tuple[TargetRow, float]] = field(default_factory=list)
    inquiry: InquiryState = field(default_factory=InquiryState)
    #: Deadlines of openings as (time, flow); a heap.
    opening_deadlines: list[tuple[float, bytes]] = field(default_factory=list)
    reader: StoreReaderState = field(default_factory=StoreReaderState)
    #: The registered reader of each zone.
    zone_readers: dict[str, ZoneReader] = field(default_factory=dict)
    #: What operators last wanted of each zone that they have ever drained.
    zone_drains: dict[str, ZoneDrain] = field(default_factory=dict)
    restore_grace: RestoreGrace = field(default_factory=RestoreGrace)
    follow: FollowState = field(default_factory=FollowState)
    election: ElectionState = field(default_factory=ElectionState)
    change_log: ChangeLog = field(default_factory=ChangeLog)
    #: When the process last took a turn, and whether what waits in its socket may
    #: have waited for long.
    iteration_started_at: float = INFINITY
    stale: bool = False
    #: When rows are looked through for what has expired.
    sweep_at: float = 0.0
    #: Set once the host is to stop: the latest time at which it exits.
    leave_deadline: float | None = None
    leaving_since: float = 0.0
    #: Time of the last packet, to see when a leaving host is quiet.
    last_packet_at: float = 0.0
    counters: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, Histogram] = field(default_factory=make_histograms)

    @property
    def lowest_priority(self) -> int:
        """Largest priority number of a route, which is the least urgent one's."""
        return max(self.priorities, default=0)

    @property
    def drained_zones(self) -> list[str]:
        """Zones whose targets are to get nothing new."""
        drains = self.zone_drains.values()
        return sorted(drain.zone for drain in drains if not drain.ended)

    def is_drained(self, zone: str) -> bool:
        """Whether the targets of a zone are to get nothing new."""
        drain = self.zone_drains.get(zone)
        return drain is not None and not drain.ended

    def zone_row(self, zone: str) -> ZoneRow:
        """Return the row of a zone, made when it is first heard of."""
        row = self.zones.get(zone)
        if row is None:
            row = self.zones[zone] = ZoneRow()
        return row

    def answer_row(self, route: int) -> AnswerRow:
        """Return the row of a route's answers, made when one is first seen."""
        row = self.answers.get(route)
        if row is None:
            row = self.answers[route] = AnswerRow()
        return row

    def service_row(self, service: str) -> ServiceRow:
        """Return the row of a service, made when it is first heard of."""
        row = self.services.get(service)
        if row is None:
            row = self.services[service] = ServiceRow()
        return row
