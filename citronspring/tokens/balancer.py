"""The decision core of the token mode: takes packets and answers, returns actions."""

from __future__ import annotations

from citronspring.events import LEAVING
from citronspring.light_stdlib import INFINITY, TYPE_CHECKING
from citronspring.tokens.change_feed import answer_poll
from citronspring.tokens.election import (
    handle_election_answer,
    next_election_call,
    next_election_deadline,
)
from citronspring.tokens.entry_updates import forget_targets
from citronspring.tokens.flows import SWEEP_INTERVAL, expire_flows
from citronspring.tokens.forwarding import receive_packet
from citronspring.tokens.inquiry import (
    advance_inquiry,
    handle_host_message,
    next_inquiry_deadline,
    note_member,
    report_suspicions,
)
from citronspring.tokens.local_path import note_disturbance
from citronspring.tokens.messages import Log, WriteRouteHistory
from citronspring.tokens.openings import place_opening, unanswered_openings
from citronspring.tokens.peer_snapshot import encode_snapshot
from citronspring.tokens.store_reader import (
    answer_deadline,
    handle_store_answer,
    is_current,
    largest_answer,
    next_call,
)
from citronspring.tokens.tables import Tables
from citronspring.tokens.times import ReaderTimes

if TYPE_CHECKING:
    from citronspring.endpoints import Endpoint
    from citronspring.tokens.change_feed import FeedPoll
    from citronspring.tokens.entities import Packet
    from citronspring.tokens.messages import (
        Action,
        ElectionAnswer,
        ElectionCall,
        StoreAnswer,
        StoreCall,
    )
    from citronspring.tokens.suspicions import HostMessage

#: Minimum time in seconds that a leaving host keeps forwarding. Routers probe its
#: readiness twice per second and send to it until two probes have failed.
LEAVE_SECONDS = 1.6

#: Seconds without a packet after which a leaving host counts as out of rotation.
QUIET_SECONDS = 0.4

#: Seconds after the link's capacity becomes known until its usage is sampled, so that
#: the imports do not slow the start.
LINK_SAMPLE_DELAY = 0.1

#: Stall of the process, in seconds, after which queued openings are too old to be
#: placed: after 200 ms a caller retransmits its opening, which may open the flow
#: through another host. This is twice the longest pause of a processor whose CPU quota
#: is used up.
STALL_THRESHOLD = 0.2


#: Stall of the process, in seconds, in which routers may take the host out of rotation:
#: two of their probes, which come twice per second, get no answer.
ROTATION_TIME = 1.0


class TokenBalancer:
    """The decisions of one host; a pure core that gets time and I/O as arguments.

    Parameters
    ----------
    tables : Tables
        All state.
    times : ReaderTimes
        Timeouts of calls to the store.
    """

    def __init__(self, tables: Tables, times: ReaderTimes) -> None:
        self.tables = tables
        self.times = times

    @classmethod
    def from_config(
        cls, host_id: str, zone: str, times: ReaderTimes, peers: int = 0
    ) -> TokenBalancer:
        """Return the core of a host that has no state yet.

        Parameters
        ----------
        host_id : str
            Id of this host.
        zone : str
            Its availability zone.
        times : ReaderTimes
            Timeouts of calls to the store.
        peers : int
            Number of other hosts that can be asked for a snapshot.
        """
        return cls(Tables(host_id, zone, peers), times)

    @property
    def configured(self) -> bool:
        """Whether a configuration and the registered targets are known."""
        return self.tables.configuration > 0

    @property
    def ready(self) -> bool:
        """Whether routers may send new flows to this host."""
        return self.configured and self.tables.leave_deadline is None

    def begin_iteration(self, now: float, slept: float = 0.0) -> bool:
        """Begin an iteration of the event loop; return whether the process had stalled.

        After a stall, all queued packets must be received before the next `tick`.

        Parameters
        ----------
        now : float
            Current time in seconds.
        slept : float
            Seconds that the process slept on purpose since the last iteration began.
        """
        tables = self.tables
        stall = now - tables.iteration_started_at - slept
        stalled = stall >= STALL_THRESHOLD
        if stalled:
            tables.stale = True
            tables.flows_moved = tables.flows_moved or stall > ROTATION_TIME
            tables.counters["pauses"] += 1
            note_disturbance(tables.local_path, now)
        tables.iteration_started_at = now
        if tables.stale or tables.link_rate == INFINITY:
            # After a stall, all queued packets would count as the bytes of one sample.
            return stalled
        if now >= tables.link_usage.sample_at:
            # Imported on first use: the first sample is taken after the start.
            from citronspring.tokens.load.host_capacity import release_abandoned_uploads
            from citronspring.tokens.load.link_usage import sample_link
            from citronspring.tokens.load.request_sizes import learn_request_sizes

            sample_link(tables, now)
            learn_request_sizes(tables)
            release_abandoned_uploads(tables, now)
        return stalled

    def receive(self, packet: Packet, now: float) -> list[Action]:
        """Return the actions for a packet."""
        actions: list[Action] = []
        current = is_current(self.tables, self.times, now)
        receive_packet(self.tables, packet, current, now, actions)
        return actions

    def set_link_limit(self, rate: float, now: float) -> None:
        """Set the capacity of the host's link in bytes per second, infinite for none.

        The first sample of its usage is delayed, so that its imports do not slow the
        start.
        """
        tables = self.tables
        tables.link_rate = rate
        tables.link_usage.sample_at = now + LINK_SAMPLE_DELAY
        if rate == INFINITY:
            tables.link_usage.nearly_full = False
            tables.request_sizes.clear()

    def note_failed_send(self, now: float) -> None:
        """Record that sending a datagram failed."""
        self.tables.counters["send-errors"] += 1
        note_disturbance(self.tables.local_path, now)

    def next_call(self, now: float) -> StoreCall | None:
        """Return the call to the store that is due, None if none is."""
        return next_call(self.tables, self.times, now)

    def answer_deadline(self, call: StoreCall, now: float) -> float:
        """Return the deadline of a call that is sent now."""
        return answer_deadline(self.tables, call, now)

    def largest_answer(self, call: StoreCall) -> float:
        """Return the largest accepted size of a call's answer, in bytes."""
        return largest_answer(self.times, call)

    def handle_store_answer(
        self, call: StoreCall, answer: StoreAnswer, sent_at: float, now: float
    ) -> list[Action]:
        """Apply the answer to a call to the store, a peer or the zone reader."""
        return handle_store_answer(self.tables, self.times, call, answer, sent_at, now)

    def next_election_call(
        self, endpoint: Endpoint, delay: float, now: float
    ) -> ElectionCall | None:
        """Return the election call or write of a zone reader that is due, or None."""
        call = next_election_call(self.tables, endpoint, delay, now)
        history = self.tables.route_history
        if not history.is_used:
            history.routes_to_check.clear()
        if not self.tables.election.lease:
            # A host that becomes zone reader waits a random delay again.
            history.write_at = INFINITY
            return call
        if call is not None or not history.routes_to_check:
            return call
        # Imported on first use; most deployments never write a route history.
        from citronspring.tokens.route_history import next_history_write

        fresh = now - self.tables.reader.current_at <= self.times.current
        return next_history_write(self.tables, fresh, now)

    def next_election_deadline(self) -> float:
        """Return the time at which the next election call may be due."""
        deadline = next_election_deadline(self.tables)
        history = self.tables.route_history
        if history.routes_to_check and self.tables.election.lease:
            return min(deadline, history.write_at)
        return deadline

    def handle_election_answer(
        self, call: ElectionCall, answer: ElectionAnswer, sent_at: float, now: float
    ) -> list[Action]:
        """Apply the answer to an election call or to a write of a zone reader."""
        if isinstance(call, WriteRouteHistory):
            from citronspring.tokens.route_history import handle_write_answer

            return handle_write_answer(self.tables, call, answer, now)
        return handle_election_answer(self.tables, call, answer, sent_at, now)

    def answer_poll(self, poll: FeedPoll, now: float) -> tuple[int, bytes] | None:
        """Return status and body for a follower's poll, None while it has to wait."""
        note_member(self.tables, poll.host, now)
        return answer_poll(self.tables, self.times, poll, now)

    def handle_host_message(
        self, message: HostMessage, source: str, now: float
    ) -> list[Action]:
        """Handle a message from another host of the zone.

        ``source`` is the sender's address.
        """
        actions: list[Action] = []
        handle_host_message(self.tables, message, source, now, actions)
        return actions

    def tick(self, now: float) -> list[Action]:
        """Run everything that is due; queued packets must be received first.

        Otherwise an answer that is still in the socket's queue would count as missing
        after the host itself had stalled.
        """
        actions: list[Action] = []
        tables = self.tables
        tables.stale = tables.flows_moved = False
        for key in unanswered_openings(tables, now):
            flow = tables.flows[key]
            route = tables.routes.get(flow.route)
            if route is not None and flow.opening is not None:
                place_opening(tables, flow.opening, route, flow, now, actions)
        report_suspicions(tables, now, actions)
        advance_inquiry(tables, now, actions)
        if tables.link_usage.nearly_full != tables.link_usage.logged_nearly_full:
            from citronspring.tokens.load.link_usage import log_link_state

            log_link_state(tables, now, actions)
        if now >= tables.sweep_at:
            tables.sweep_at = now + SWEEP_INTERVAL
            expire_flows(tables, now)
            forget_targets(tables, now)
            if tables.route_history.earlier:
                from citronspring.tokens.route_history import forget_services

                forget_services(tables, now, actions)
        if now >= tables.restore_grace.next_deadline:
            from citronspring.tokens.restore_grace import expire_missing_entries

            expire_missing_entries(tables, now, actions)
        return actions

    def next_deadline(self, now: float) -> float:
        """Return the time of the next work for `tick`."""
        tables = self.tables
        deadline = min(
            tables.sweep_at,
            next_inquiry_deadline(tables.inquiry),
            tables.restore_grace.next_deadline,
        )
        if tables.opening_deadlines:
            return min(tables.opening_deadlines[0][0], deadline)
        return max(deadline, now)

    def leave(self, deadline: float, now: float) -> list[Action]:
        """Start leaving: turn unready, and forward until routers stop sending."""
        if self.tables.leave_deadline is not None:
            return []
        self.tables.leave_deadline = deadline
        self.tables.leaving_since = now
        fields: dict[str, object] = {
            "deadline": round(deadline - now, 3),
            "flows": len(self.tables.flows),
        }
        return [Log(LEAVING.number, fields)]

    def may_stop(self, now: float) -> bool:
        """Whether a leaving host is out of rotation or has reached its deadline."""
        tables = self.tables
        if tables.leave_deadline is None:
            return False
        routers_left = now - tables.leaving_since >= LEAVE_SECONDS
        quiet = now - tables.last_packet_at >= QUIET_SECONDS
        return now >= tables.leave_deadline or (routers_left and quiet)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as JSON-compatible values, for operators."""
        # Imported on first use: each module that is loaded at start delays readiness.
        from citronspring.tokens.introspection import dump_state

        return dump_state(self.tables, now)

    def snapshot(self, now: float) -> tuple[int, bytes]:
        """Return status and body for a peer that requests a snapshot."""
        return encode_snapshot(self.tables, now)

    def metrics(self, now: float) -> str:
        """Return counters and histograms as text."""
        from citronspring.tokens.introspection import metrics_text

        return metrics_text(self.tables, now)
