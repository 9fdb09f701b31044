"""The emulated store: entries with revisions, watches, leases and outages."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from citronspring.tokens.entries import (
    Configuration,
    ReaderRemoved,
    RouteHistory,
    Target,
    TargetRemoved,
    ZoneDrain,
    ZoneReader,
    count_of,
    epoch_of,
    ordered_revision,
    with_revision,
)
from citronspring.tokens.messages import (
    Changes,
    ClaimZone,
    ConditionFailed,
    Done,
    EndLease,
    GrantLease,
    HistoryLost,
    LeaseGranted,
    LeaseLost,
    ListEntries,
    Page,
    Refused,
    RenewLease,
    WatchEntries,
    WriteRouteHistory,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.clock import Clock
    from citronspring.emulator.targets import EmulatedTarget
    from citronspring.tokens.messages import (
        ElectionAnswer,
        ElectionCall,
        StoreAnswer,
    )

Entry = Configuration | Target | ZoneReader | ZoneDrain | RouteHistory
Change = Entry | TargetRemoved | ReaderRemoved

#: Seconds until a call is answered.
ANSWER_TIME = 0.004

#: Entries on a page of a list; few, so that lists have several pages.
PAGE_SIZE = 4

#: Seconds for which watch notifications are suppressed before history is lost.
SUPPRESSED_SECONDS = 1.0

CONFIGURATION_KEY = "configuration"
SERVICE_UNAVAILABLE = 503


class Outage(Enum):
    """How the store fails during an outage."""

    #: It accepts calls and never answers.
    UNRESPONSIVE = "silent"
    #: It refuses each call at once.
    BUSY = "busy"


@dataclass(slots=True)
class PendingWatch:
    """A watch that waits for changes."""

    after: int
    answer: Callable[[StoreAnswer], None]
    deadline: float
    host_id: str


@dataclass(slots=True)
class Lease:
    """A lease, and the zones whose reader is registered under it."""

    ttl: float
    deadline: float
    zones: set[str] = field(default_factory=set)


@dataclass(slots=True)
class EmulatedStore:
    """Entries of operators, targets and zone readers."""

    clock: Clock
    revision: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: list[tuple[int, Change]] = field(default_factory=list)
    #: Valid leases by number.
    leases: dict[int, Lease] = field(default_factory=dict)
    last_lease: int = 0
    #: Changes at or below this revision are compacted.
    compacted_revision: int = 0
    watches: list[PendingWatch] = field(default_factory=list)
    outage: Outage | None = None
    #: Hosts that the outage affects; empty for all.
    outage_hosts: frozenset[str] = frozenset()
    #: Hosts whose calls do not arrive. This counts as a disturbance of the host, not of
    #: the store.
    partitioned_hosts: set[str] = field(default_factory=set)
    #: While set, watches are not notified of changes.
    watches_suppressed: bool = False
    slowness: float = 1.0
    disturbed_at: float = -100.0
    #: Numbers of calls without lease renewals, and of lease renewals.
    calls: int = 0
    renewals: int = 0

    # Writes ----------------------------------------------------------------------

    def put_configuration(self, configuration: Configuration) -> None:
        """Store a configuration."""
        self.revision += 1
        self.entries[CONFIGURATION_KEY] = configuration
        self.record(configuration)

    def put_target(self, target: Target) -> None:
        """Store the entry of a target."""
        self.revision += 1
        entry = with_revision(target, self.revision)
        self.entries[target.target_id] = entry
        self.record(entry)

    def remove_target(self, target: EmulatedTarget) -> None:
        """Remove a target's entry."""
        if self.entries.pop(target.target_id, None) is None:
            return
        self.revision += 1
        self.record(TargetRemoved(target.target_id, self.revision))

    def put_drain(self, zone: str) -> None:
        """Store the drain of a zone."""
        self.revision += 1
        drain = ZoneDrain(zone, self.revision)
        self.entries[drain_key(zone)] = drain
        self.record(drain)

    def end_drain(self, zone: str) -> None:
        """Remove the drain of a zone."""
        if self.entries.pop(drain_key(zone), None) is None:
            return
        self.revision += 1
        self.record(ZoneDrain(zone, self.revision, ended=True))

    def record(self, change: Change) -> None:
        """Record a change and notify the watches."""
        self.changes.append((self.revision, change))
        if not self.watches_suppressed:
            self.notify_watches()

    def notify_watches(self) -> None:
        """Answer the watches for which there are changes."""
        for watch in list(self.watches):
            changes = self.changes_above(watch.after)
            if changes:
                self.watches.remove(watch)
                watch.answer(self.watch_answer(changes))

    # Leases ----------------------------------------------------------------------

    def elect(
        self,
        host_id: str,
        call: ElectionCall,
        answer: Callable[[ElectionAnswer], None],
    ) -> None:
        """Handle a call of the zone reader election."""
        if isinstance(call, RenewLease):
            self.renewals += 1
        else:
            self.calls += 1
        if self.is_unavailable_to(host_id):
            if self.outage is Outage.BUSY and host_id not in self.partitioned_hosts:
                self.answer_later(answer, Refused(SERVICE_UNAVAILABLE))
            return
        self.answer_later(answer, self.handle_election(call))

    def handle_election(self, call: ElectionCall) -> ElectionAnswer:
        """Perform an election call and return its answer."""
        if isinstance(call, GrantLease):
            self.last_lease += 1
            self.leases[self.last_lease] = Lease(call.ttl, self.clock.now + call.ttl)
            self.watch_lease(self.last_lease)
            return LeaseGranted(self.last_lease, call.ttl)
        if isinstance(call, WriteRouteHistory):
            return self.write_histories(call)
        lease = self.leases.get(call.lease)
        if lease is None:
            return LeaseLost()
        match call:
            case RenewLease():
                lease.deadline = self.clock.now + lease.ttl
                self.watch_lease(call.lease)
            case EndLease():
                self.end_lease(call.lease)
            case ClaimZone():
                return self.claim(call, lease)
        return Done()

    def claim(self, call: ClaimZone, lease: Lease) -> ElectionAnswer:
        """Register the reader of a zone, unless the entry has another revision."""
        known = self.entries.get(reader_key(call.zone))
        count = count_of(known.revision) if known is not None else 0
        if count != count_of(call.replaces):
            return ConditionFailed()
        for other in self.leases.values():
            other.zones.discard(call.zone)
        self.revision += 1
        reader = ZoneReader(call.zone, call.host_id, call.endpoint, self.revision)
        self.entries[reader_key(call.zone)] = reader
        lease.zones.add(call.zone)
        self.record(reader)
        return Done()

    def write_histories(self, call: WriteRouteHistory) -> ElectionAnswer:
        """Write shards of the route history, unless one has another revision."""
        for history in call.histories:
            known = self.entries.get(history_key(history.shard))
            count = count_of(known.revision) if known is not None else 0
            if count != count_of(history.revision):
                return ConditionFailed()
        self.revision += 1
        for history in call.histories:
            entry = with_revision(history, self.revision)
            self.entries[history_key(history.shard)] = entry
            self.changes.append((self.revision, entry))
        if not self.watches_suppressed:
            self.notify_watches()
        return Done()

    def watch_lease(self, number: int) -> None:
        """Schedule the end of a lease at its deadline, unless it is renewed."""

        def check() -> None:
            lease = self.leases.get(number)
            if lease is not None and self.clock.now >= lease.deadline:
                self.end_lease(number)

        self.clock.at(self.leases[number].deadline, check)

    def end_lease(self, number: int) -> None:
        """End a lease, and remove the registrations under it."""
        for zone in sorted(self.leases.pop(number).zones):
            self.revoke_reader(zone)

    def revoke_reader(self, zone: str) -> None:
        """Remove the registration of a zone reader."""
        if self.entries.pop(reader_key(zone), None) is None:
            return
        self.revision += 1
        self.record(ReaderRemoved(zone, self.revision))

    @property
    def epoch(self) -> int:
        """Return how often the store has been restored from a backup."""
        return epoch_of(self.revision)

    # Reads -----------------------------------------------------------------------

    def call(
        self,
        host_id: str,
        call: ListEntries | WatchEntries,
        answer: Callable[[StoreAnswer], None],
    ) -> None:
        """Handle a read; ``answer`` is called when, and if, it is answered."""
        self.calls += 1
        if self.is_unavailable_to(host_id):
            if self.outage is Outage.BUSY and host_id not in self.partitioned_hosts:
                self.answer_later(answer, Refused(SERVICE_UNAVAILABLE))
            return
        match call:
            case ListEntries():
                self.answer_later(answer, self.page(call.after_key))
            case WatchEntries():
                self.watch(host_id, call, answer)

    def is_unavailable_to(self, host_id: str) -> bool:
        """Return whether a host is not served."""
        if host_id in self.partitioned_hosts:
            return True
        if self.outage is None:
            return False
        return not self.outage_hosts or host_id in self.outage_hosts

    def answer_later(self, answer: Callable[[Any], None], found: object) -> None:
        """Deliver an answer after the time that a call takes."""
        self.clock.after(ANSWER_TIME * self.slowness, lambda: answer(found))

    def page(self, after_key: str) -> Page:
        """Return the page of the list after a key."""
        keys = sorted(key for key in self.entries if key > after_key)
        shown = keys[:PAGE_SIZE]
        next_key = shown[-1] if len(keys) > len(shown) else None
        entries = tuple(self.entries[key] for key in shown)
        return Page(entries, self.revision, next_key)

    def watch(
        self,
        host_id: str,
        call: WatchEntries,
        answer: Callable[[StoreAnswer], None],
    ) -> None:
        """Answer a watch at once if there are changes, else keep it open."""
        after = ordered_revision(self.epoch, count_of(call.after_revision))
        if after < self.compacted_revision or after > self.revision:
            self.answer_later(answer, HistoryLost(self.epoch))
            return
        changes = self.changes_above(after)
        if changes and not self.watches_suppressed:
            self.answer_later(answer, self.watch_answer(changes))
            return
        deadline = self.clock.now + call.wait
        watch = PendingWatch(after, answer, deadline, host_id)
        self.watches.append(watch)
        self.clock.at(watch.deadline, lambda: self.end_watch(watch))

    def end_watch(self, watch: PendingWatch) -> None:
        """Answer an open watch at its deadline, without changes."""
        if watch in self.watches:
            self.watches.remove(watch)
            watch.answer(Changes((), None, self.epoch))

    def changes_above(self, revision: int) -> list[tuple[int, Change]]:
        """Return the changes above a revision that are not compacted."""
        return [change for change in self.changes if change[0] > revision]

    def watch_answer(self, changes: list[tuple[int, Change]]) -> Changes:
        """Return changes as the answer to a watch."""
        found = tuple(change for _, change in changes)
        return Changes(found, changes[-1][0], self.epoch)

    # Outages ---------------------------------------------------------------------

    def begin_outage(self, outage: Outage, hosts: frozenset[str]) -> None:
        """Stop serving some hosts, or all; open watches are dropped."""
        self.outage, self.outage_hosts = outage, hosts
        self.disturbed_at = self.clock.now
        self.watches.clear()

    def end_outage(self) -> None:
        """Serve all hosts at normal speed again."""
        self.outage = None
        self.slowness = 1.0
        self.disturbed_at = self.clock.now

    def partition(self, host_id: str) -> None:
        """Partition a host from the store; its open watches are dropped."""
        self.partitioned_hosts.add(host_id)
        self.watches = [one for one in self.watches if one.host_id != host_id]

    def lose_history(self) -> None:
        """Suppress watch notifications for a while, then compact the history."""
        self.watches_suppressed = True
        self.disturbed_at = self.clock.now
        self.clock.after(SUPPRESSED_SECONDS, self.compact_history)

    def compact_history(self) -> None:
        """Compact the history and end every watch with lost history."""
        self.watches_suppressed = False
        self.disturbed_at = self.clock.now
        self.compacted_revision = self.revision
        self.changes.clear()
        ended, self.watches = self.watches, []
        for watch in ended:
            watch.answer(HistoryLost(self.epoch))


def reader_key(zone: str) -> str:
    """Return the key under which the reader of a zone is registered."""
    return f"reader-of-{zone}"


def drain_key(zone: str) -> str:
    """Return the key of a zone's drain."""
    return f"drain-of-{zone}"


def history_key(shard: int) -> str:
    """Return the key of a shard of the route history."""
    return f"history-{shard:x}"
