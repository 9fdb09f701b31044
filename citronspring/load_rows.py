"""Rows of limits, health and loads, beside the rows of accounts and targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tables import TargetRow


@dataclass(slots=True)
class GcraLimiter:
    """A rate limit that stores the time at which it is next exhausted (GCRA)."""

    #: Theoretical arrival time: when the events so far would be paid off.
    arrival_at: float = 0.0

    def admit(self, now: float, per_second: float, burst: float) -> bool:
        """Count one event if it is within rate and burst; return whether it is."""
        if now < self.retry_at(per_second, burst):
            return False
        self.arrival_at = max(self.arrival_at, now) + 1.0 / per_second
        return True

    def retry_at(self, per_second: float, burst: float) -> float:
        """Return the time from which one more event is admitted.

        `admit` compares with this very number: worked out in two ways, rounding
        would refuse a caller who comes back just when told to.
        """
        return self.arrival_at - burst / per_second


@dataclass(slots=True, frozen=True)
class PeerUsage:
    """Flows of a client account that a peer promised to stay within, or holds."""

    open_flows: int
    received_at: float


@dataclass(slots=True)
class QuotaLending:
    """What owners leave each other of a client account's connections."""

    #: Promises of peers by host id.
    peer_usage: dict[str, PeerUsage] = field(default_factory=dict)
    #: What this host last promised to stay within.
    announced_cap: int = 0
    #: When that promise runs out; 0.0 if there never was one.
    cap_expires_at: float = 0.0
    #: Until this time peers need what this host leaves unused.
    contended_until: float = 0.0


@dataclass(slots=True)
class ProberReport:
    """What one prober last said of a target."""

    healthy: bool
    #: Busy share, 0.0 to 1.0 and above when queueing; None if not told.
    load: float | None
    #: When it began to say so.
    since: float
    #: The note counts for nothing from this time.
    deadline: float
    #: Results in a row that contradict ``healthy``, at the prober itself.
    contrary_results: int = 0


@dataclass(slots=True)
class HealthState:
    """What this host knows against a target, and what speaks for it."""

    #: Until this time no new flow is placed on the target.
    ejected_until: float = 0.0
    #: Ejections in a row; the next one lasts longer.
    ejections: int = 0
    #: Openings in a row that it refused or did not answer.
    failures: int = 0
    #: Ejected once and not seen to answer since: one trial flow at a time.
    on_probation: bool = False
    #: No further trial flow before this time.
    trial_until: float = 0.0
    #: From this time its earlier ejections no longer lengthen the next one.
    ejections_reset_at: float = 0.0
    #: When it last answered an opening.
    answered_at: float = -1.0
    #: What probers said, by host id; None while nobody did.
    prober_reports: dict[str, ProberReport] | None = None


#: The state of every target that nothing is known of; never changed. Accounts are
#: idle for the most part, and a state for each of their targets would cost more
#: than the rest of their rows.
UNKNOWN_HEALTH = HealthState()


@dataclass(slots=True, frozen=True)
class RemoteCount:
    """Flows of a peer on a target, as it told them."""

    row: TargetRow
    flows: int
    #: Not repeated until then, they count no longer.
    deadline: float


@dataclass(slots=True, frozen=True)
class SentLoad:
    """What a peer was last told of a target."""

    flows: int
    sent_at: float


@dataclass(slots=True)
class LoadTable:
    """What peers told of their loads, and what they were told."""

    #: Counts by peer and target id.
    counts: dict[str, dict[str, RemoteCount]] = field(default_factory=dict)
    #: By peer, until when it counts as known.
    valid_until: dict[str, float] = field(default_factory=dict)
    #: Entries by peer and target id.
    last_sent: dict[str, dict[str, SentLoad]] = field(default_factory=dict)
    #: When the next peer is told.
    next_send_at: float = 0.0
    #: Messages so far; says whose turn it is.
    messages_sent: int = 0
    #: How much what peers told counts in placement, 0.0 to 1.0.
    weight: float = 0.0
    #: Version of the ring that the peers were last compared with.
    owners_version: int = 0
