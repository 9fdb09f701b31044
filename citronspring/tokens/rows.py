"""Rows of the tables: targets, zones, services and flows, as a host sees them."""

from __future__ import annotations

from citronspring.light_stdlib import INFINITY, TYPE_CHECKING, deque
from citronspring.records import field, record

if TYPE_CHECKING:
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.entries import Target


@record
class TargetRow:
    """A registered target with what this host counts and believes of it."""

    target: Target
    #: What packets of its flows carry.
    token: int
    #: Open flows that this host placed or saw.
    flows: int = 0
    #: When it was last given a flow.
    placed_at: float = 0.0
    #: Its place among targets that are alike, in an order of this host's own.
    rank: int = 0
    #: Of these, flows with a request that is not answered yet.
    busy: int = 0
    #: Load that it counts as having for its way.
    zone_penalty: float = 0.0
    #: How busy it is for its size, and what decides among equals; see `placement_order`.
    order: tuple[float, float, int] = (0.0, 0.0, 0)
    #: Time until which it works slower after its start.
    warm_at: float = 0.0
    #: Time at which its entry left the store; infinite while it is there.
    gone_at: float = INFINITY
    #: When a caller last showed that the target had answered.
    answered_at: float = -INFINITY
    #: When the first of those that it left unanswered since went out.
    unanswered_since: float = INFINITY
    #: Openings and requests it left unanswered since it last answered.
    timeouts: int = 0
    #: Flows that sent a request again in vain since; and when one last did.
    retransmissions: int = 0
    retransmitted_at: float = -INFINITY
    #: When the first of these flows did, and when the request of the last one had been
    #: sent first.
    first_retransmitted_at: float = -INFINITY
    retransmitted_sent_at: float = -INFINITY
    #: Time until which new flows rather go elsewhere.
    avoid_until: float = 0.0
    #: When this start of the target was first heard of.
    known_at: float = -INFINITY
    #: Time until which no host of the zone is believed to reach it, and since when
    #: none has heard of it.
    unreachable_until: float = -INFINITY
    unreachable_since: float = INFINITY


@record
class ZoneRow:
    """What is believed of the way to one availability zone."""

    answered_at: float = -INFINITY
    #: When the newest of what its targets have answered was sent.
    answered_sent_at: float = -INFINITY
    #: When a request to one of its targets was first sent again since it answered.
    first_retransmitted_at: float = -INFINITY
    #: Time until which no target of the zone is believed to be in reach.
    suspect_until: float = 0.0
    #: Targets of it that are silent, with no answer from the zone since.
    unresponsive_targets: int = 0


@record
class ServiceRow:
    """How long requests of a service take, as this host sees it."""

    #: Median seconds from a request to its answer, of the newest requests.
    median_delay: float = 0.0
    #: Answers since there was none for a while.
    answers: int = 0
    answered_at: float = -INFINITY


@record
class AnswerRow:
    """How large answers on a route are, as this host sees it."""

    #: Bytes that three of four answers do not reach, of the newest ones.
    usual_size: float = 0.0
    seen_at: float = 0.0


@record
class FlowRow:
    """A flow whose packets pass here; none is needed to forward them."""

    route: int
    target: TargetRow
    idempotent: bool
    #: Sequence number of the opening.
    first_seq: int
    #: Number after the last byte of payload seen from the caller.
    next_seq: int
    ack: int = 0
    #: False until a packet shows which target the caller's end is bound to.
    open: bool = False
    #: Whether a request has gone to the target and no byte of an answer is seen.
    busy: bool = False
    #: When the unanswered opening or request was sent first.
    first_sent_at: float = 0.0
    #: When bytes of the request were sent last, new ones or the same again.
    sent_at: float = 0.0
    #: Times that the caller sent the same bytes again.
    retransmissions: int = 0
    #: Time from which the row may be forgotten.
    expires_at: float = 0.0
    #: Targets that the opening was sent to.
    tried: list[TargetRow] = field(default_factory=list)
    #: The opening itself, while it may have to be sent elsewhere.
    opening: Packet | None = None


@record
class AnsweredRequest:
    """An opening or request that a target has answered."""

    target: TargetRow
    sent_at: float
    answered_at: float


@record
class RetransmittedRequest:
    """A request that its caller has sent again."""

    target: TargetRow
    sent_at: float
    retransmitted_at: float


@record
class LocalPath:
    """What shows whether the host's own link, socket and processor keep up."""

    answers: deque[AnsweredRequest] = field(default_factory=deque)
    retransmissions: deque[RetransmittedRequest] = field(default_factory=deque)
    #: When the host last stood still, or could not send.
    disturbed_at: float = -INFINITY
