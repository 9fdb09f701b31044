"""Rows of the tables: state of targets, zones, services and flows at this host."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, deque
from citronspring.records import field, record

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.entries import Target

#: Number of requests or answers at which their sums are halved, so that older ones lose
#: weight.
MAX_COUNTED_REQUESTS = 64


@record
class TargetRow:
    """A registered target with this host's counts and assumptions about it."""

    target: Target
    #: Token that packets of its flows carry.
    token: int
    #: Open flows that this host placed or has seen.
    flows: int = 0
    #: When it was last given a flow.
    placed_at: float = 0.0
    #: Order among equally loaded targets, specific to this host.
    rank: int = 0
    #: Number of these flows that have an outstanding request.
    busy: int = 0
    #: Cached sort key of placement; see `placement_order`.
    order: tuple[float, float, int] = (0.0, 0.0, 0)
    #: Time at which its warm-up ends.
    warm_at: float = 0.0
    #: Time at which its entry was removed; infinite while it is registered.
    gone_at: float = INFINITY
    #: When a caller's packet last showed an answer of the target.
    answered_at: float = -INFINITY
    #: When the first opening or request was sent that it has not answered since.
    unanswered_since: float = INFINITY
    #: Number of openings and requests without an answer since its last answer.
    timeouts: int = 0
    #: Number of flows that have retransmitted since without an acknowledgement, and
    #: time of the latest one.
    retransmissions: int = 0
    retransmitted_at: float = -INFINITY
    #: Time of the first of these retransmissions, and time at which the request of the
    #: latest one was first sent.
    first_retransmitted_at: float = -INFINITY
    retransmitted_sent_at: float = -INFINITY
    #: Time until which new flows should go to other targets.
    avoid_until: float = 0.0
    #: When this incarnation of the target became known.
    known_at: float = -INFINITY
    #: Time until which a verdict of the zone marks it as unreachable, and time since
    #: which no host has seen an answer of it.
    unreachable_until: float = -INFINITY
    unreachable_since: float = INFINITY


@record
class ServiceTargets:
    """Registered targets of a service, including those that are leaving, by zone."""

    home: list[TargetRow] = field(default_factory=list)
    others: list[TargetRow] = field(default_factory=list)


@record
class RouteBytes:
    """Decayed sums of the bytes of a route's requests and answers at this host."""

    request_bytes: float = 0.0
    requests: int = 0
    answer_bytes: float = 0.0
    answers: int = 0

    def add_request(self, size: int, is_first: bool) -> None:
        """Count new bytes of a request; ``is_first`` for the first ones.

        Retransmitted bytes are not new. Rejected requests count: their bytes have
        crossed.
        """
        self.request_bytes += size
        if is_first:
            self.requests += 1
            if self.requests >= MAX_COUNTED_REQUESTS:
                self.requests //= 2
                self.request_bytes *= 0.5

    def add_answer(self, size: int, is_first: bool) -> None:
        """Count newly acknowledged bytes of an answer; ``is_first`` for the first ones.

        Callers acknowledge a large answer in several packets, so the first
        acknowledgement alone does not tell its size.
        """
        self.answer_bytes += size
        if is_first:
            self.answers += 1
            if self.answers >= MAX_COUNTED_REQUESTS:
                self.answers //= 2
                self.answer_bytes *= 0.5


@record
class ZoneRow:
    """State of the network path to one availability zone."""

    answered_at: float = -INFINITY
    #: Latest sending time of a packet that its targets have answered.
    answered_sent_at: float = -INFINITY
    #: Time of the first retransmission to one of its targets since its last answer.
    first_retransmitted_at: float = -INFINITY
    #: Time until which all targets of the zone are assumed to be unreachable.
    suspect_until: float = 0.0
    #: Number of its targets that are unresponsive since the zone's last answer.
    unresponsive_targets: int = 0


@record
class ServiceRow:
    """Response times of a service, as measured by this host."""

    #: Running median of the seconds from a request to its answer.
    median_delay: float = 0.0
    #: Number of answers since the last long gap between them.
    answers: int = 0
    answered_at: float = -INFINITY


@record
class RouteServiceRow:
    """A service that a route has or had before."""

    #: Deadline at which it is forgotten; infinite while the configuration names it.
    forget_at: float = INFINITY
    #: Whether the store records it.
    recorded: bool = False
    #: When this host learned that the configuration no longer names it.
    earlier_since: float = INFINITY


@record
class AnswerRow:
    """Answer sizes of a route, as measured by this host."""

    #: Size in bytes that three of four recent answers do not reach.
    usual_size: float = 0.0
    seen_at: float = 0.0


@record
class RequestSizeRow:
    """Request sizes of a route, as measured by this host."""

    #: Decayed mean of the bytes of a request, and number of requests.
    mean: float = 0.0
    requests: int = 0
    #: Usual bytes of a request if it is an upload; 0 for short or unlearned ones.
    upload_size: int = 0


@record
class LinkSample:
    """Total bytes that the host had received and sent at some time."""

    at: float
    received: int
    sent: int


@record
class LinkUsage:
    """Bytes on the host's own link; the directions are separate."""

    received: int = 0
    sent: int = 0
    samples: deque[LinkSample] = field(default_factory=deque)
    #: When the next sample is due.
    sample_at: float = -INFINITY
    #: Whether the link was nearly full at the last sample, and when it last was.
    nearly_full: bool = False
    last_nearly_full_at: float = -INFINITY
    #: Value of ``nearly_full`` that was logged last.
    logged_nearly_full: bool = False


@record
class OpenUploads:
    """Bytes that open uploads are still expected to send."""

    #: Expected remaining bytes of all open uploads.
    remaining: int = 0
    #: Part of them that may be in flight at once, limited by the callers' windows.
    in_flight: int = 0
    #: Heap of deadlines by which more bytes must arrive, as (time, flow), and the flows
    #: in it; each flow has one deadline at most.
    deadlines: list[tuple[float, bytes]] = field(default_factory=list)
    with_deadline: set[bytes] = field(default_factory=set)


@record
class EarlierStart:
    """An entry of a target whose start is before the known one."""

    target: Target
    #: Time as of which the entry must still stand to replace the known start.
    adopt_at: float


@record
class FlowRow:
    """A flow whose packets pass through this host; forwarding does not require it."""

    route: int
    target: TargetRow
    idempotent: bool
    #: Sequence number of the opening.
    first_seq: int
    #: Sequence number after the last byte of payload seen from the caller.
    next_seq: int
    ack: int = 0
    #: False until a packet shows which target the caller's end is bound to.
    open: bool = False
    #: Whether a request was forwarded and no byte of its answer has been seen.
    busy: bool = False
    #: When the unanswered opening or request was first sent.
    first_sent_at: float = 0.0
    #: When bytes of the request were last sent, new or retransmitted.
    sent_at: float = 0.0
    #: Number of retransmissions of the current bytes by the caller.
    retransmissions: int = 0
    #: Time from which the row may be removed.
    expires_at: float = 0.0
    #: Time until which a packet of another flow with the same addresses and ports
    #: counts as a late copy of an earlier flow's.
    newest_until: float = 0.0
    #: Targets that the opening was sent to.
    tried: list[TargetRow] = field(default_factory=list)
    #: The opening itself, while it may have to be sent to another target.
    opening: Packet | None = None
    #: Bytes of the current request that have arrived.
    request_bytes: int = 0
    #: Bytes that its upload is still expected to send.
    upload_bytes: int = 0


@record
class AnsweredRequest:
    """An opening or request that a target has answered."""

    target: TargetRow
    sent_at: float
    answered_at: float


@record
class RetransmittedRequest:
    """A request that its caller has retransmitted."""

    target: TargetRow
    sent_at: float
    retransmitted_at: float


@record
class LocalPath:
    """Evidence on whether the host's own link, socket and processor work."""

    answers: deque[AnsweredRequest] = field(default_factory=deque)
    retransmissions: deque[RetransmittedRequest] = field(default_factory=deque)
    #: When the host last stalled or failed to send.
    disturbed_at: float = -INFINITY
