"""Rows of limits, health and loads, referenced by accounts and targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citronspring.tables import TargetRow


@dataclass(slots=True)
class GcraLimiter:
    """Rate limit by the generic cell rate algorithm (GCRA)."""

    #: Theoretical arrival time of the next event at the configured rate.
    arrival_at: float = 0.0

    def admit(self, now: float, per_second: float, burst: float) -> bool:
        """Count one event if it is within rate and burst; return whether it is."""
        if now < self.retry_at(per_second, burst):
            return False
        self.arrival_at = max(self.arrival_at, now) + 1.0 / per_second
        return True

    def retry_at(self, per_second: float, burst: float) -> float:
        """Return the time from which one more event is admitted.

        `admit` compares with exactly this value. If the two computed it separately,
        rounding could refuse a caller that retries at the time it was given.
        """
        return self.arrival_at - burst / per_second


@dataclass(slots=True, frozen=True)
class PeerUsage:
    """Usage cap of a client account that a peer announced, or the flows it holds."""

    open_flows: int
    received_at: float


@dataclass(slots=True)
class QuotaLending:
    """Lending of a client account's connection quota between owners."""

    #: Announced usage caps by host id.
    peer_usage: dict[str, PeerUsage] = field(default_factory=dict)
    #: Usage cap that this host announced last.
    announced_cap: int = 0
    #: Expiry time of that cap; 0.0 if none was announced.
    cap_expires_at: float = 0.0
    #: Until this time peers need the quota that this host does not use.
    contended_until: float = 0.0


@dataclass(slots=True)
class ProberReport:
    """Latest report of one prober about a target."""

    healthy: bool
    #: Utilization: 0.0 to 1.0, above 1.0 with a queue; None if not reported.
    load: float | None
    #: Time of the first report in a row with this value of ``healthy``.
    since: float
    #: The report is ignored from this time on.
    deadline: float
    #: Consecutive probe results that contradict ``healthy``; kept by the prober itself.
    contrary_results: int = 0


@dataclass(slots=True)
class HealthState:
    """Health of a target as this host sees it."""

    #: Until this time no new flow is placed on the target.
    ejected_until: float = 0.0
    #: Consecutive ejections; each lasts longer than the one before.
    ejections: int = 0
    #: Consecutive openings that the target refused or did not answer.
    failures: int = 0
    #: Ejected and no answer seen since: gets only one trial flow at a time.
    on_probation: bool = False
    #: No further trial flow before this time.
    trial_until: float = 0.0
    #: From this time on earlier ejections no longer lengthen the next one.
    ejections_reset_at: float = 0.0
    #: Time at which the target last answered an opening.
    answered_at: float = -1.0
    #: Reports by prober host id; None if there are none.
    prober_reports: dict[str, ProberReport] | None = None


#: Health state of every target without health data; never modified. Most accounts are
#: idle, and a separate object for each of their targets would need more memory than the
#: rest of their rows.
UNKNOWN_HEALTH = HealthState()


@dataclass(slots=True, frozen=True)
class RemoteCount:
    """Number of flows that a peer reported for a target."""

    row: TargetRow
    flows: int
    #: Expiry time if the count is not repeated.
    deadline: float


@dataclass(slots=True, frozen=True)
class SentLoad:
    """The count of a target that was last sent to a peer."""

    flows: int
    sent_at: float


@dataclass(slots=True)
class LoadTable:
    """Loads received from peers and sent to them."""

    #: Counts by peer and target id.
    counts: dict[str, dict[str, RemoteCount]] = field(default_factory=dict)
    #: Time until which the counts of each peer are valid.
    valid_until: dict[str, float] = field(default_factory=dict)
    #: Entries by peer and target id.
    last_sent: dict[str, dict[str, SentLoad]] = field(default_factory=dict)
    #: Time at which the next peer gets a message.
    next_send_at: float = 0.0
    #: Number of messages sent so far; selects the next peer.
    messages_sent: int = 0
    #: Weight of the counts of peers in placement, 0.0 to 1.0.
    weight: float = 0.0
    #: Version of the owner table that the peers were last compared with.
    owners_version: int = 0
