"""Loads: owners report their flow counts to each other within a byte budget.

Twice a second a host sends one peer, each in turn, what has changed since its last
message to that peer. Received counts are summed up in the target rows. They are removed
when the peer leaves the owner table, or when they are not repeated for long.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from citronspring.control.messages import AccountUse, Loads, TargetLoad
from citronspring.load_rows import RemoteCount, SentLoad
from citronspring.messages import SendControl
from citronspring.systems.health import PROBE_INTERVAL, record_report
from citronspring.systems.idle import extend_activity
from citronspring.systems.limits import is_contended, next_usage_cap, record_peer_usage

if TYPE_CHECKING:
    from citronspring.messages import Action
    from citronspring.tables import Tables, TargetRow

#: Seconds between two messages of a host.
SEND_INTERVAL = 0.5

#: Bytes of entries in one message. With the envelope and the headers of two datagrams a
#: second, a host sends about 1 KB/s.
MESSAGE_BYTES = 384

#: Bytes of an entry in addition to its id.
ENTRY_BYTES = 9

#: Maximum number of account uses in one message, so that there is room for loads.
MAX_USE_ENTRIES = 6

#: Seconds after which an unchanged entry is sent again, as datagrams get lost.
REPEAT_INTERVAL = 30.0

#: Seconds for which a received count is valid; covers several repetitions.
COUNT_LIFETIME = 120.0

#: Seconds without any message after which a peer's flows count as unknown.
PEER_SILENCE_TIMEOUT = 45.0

#: Urgency of each second that an entry waits, in flows of change.
WAIT_URGENCY = 0.05

#: Urgency of a probed state, in flows of change.
REPORT_URGENCY = 8.0

#: Weight of fresh counts of peers in placement.
FRESH_WEIGHT = 0.5

#: Counts are fresh if every peer receives all of them within this many seconds. Older
#: ones make imbalance worse, so they are neither sent nor used.
FRESH_CYCLE = 10.0

#: Typical number of entries in one message, used to estimate the length of the cycle.
TYPICAL_ENTRIES = 18

#: One byte of load represents 0.0 to 2.0.
LOAD_SCALE = 127.5
LOAD_MAX = 255


@dataclass(slots=True)
class Candidate:
    """An entry that may go into the next message."""

    urgency: float
    entry: TargetLoad


def send_loads(tables: Tables, now: float, actions: list[Action]) -> None:
    """Send the next peer in turn what has changed."""
    loads = tables.loads
    if loads.owners_version != tables.owners.version:
        loads.owners_version = tables.owners.version
        discard_departed_peers(tables)
        count_silent_peers(tables, now)
    if now < loads.next_send_at:
        return
    loads.next_send_at = now + SEND_INTERVAL
    peers = [name for name in tables.owners.members if name != tables.host_id]
    count_silent_peers(tables, now)
    if not peers:
        return
    loads.messages_sent += 1
    peer = peers[loads.messages_sent % len(peers)]
    loads.weight = FRESH_WEIGHT if is_cycle_short(tables, len(peers)) else 0.0
    expire_counts(tables, peer, now)
    message = build_message(tables, peer, now)
    if message.targets or message.accounts:
        tables.counters["loads.entries"] += len(message.targets) + len(message.accounts)
        tables.counters["loads.messages"] += 1
        actions.append(SendControl(peer, message))


def is_cycle_short(tables: Tables, peers: int) -> bool:
    """Whether the budget lets every peer receive all counts while they are fresh."""
    entries = sum(len(row.targets) for row in tables.active_accounts.values())
    messages = peers * (1 + entries // TYPICAL_ENTRIES)
    return messages * SEND_INTERVAL <= FRESH_CYCLE


def build_message(tables: Tables, peer: str, now: float) -> Loads:
    """Return the most urgent entries for a peer and record them as sent."""
    uses = account_uses(tables, now)
    candidates = candidates_for(tables, peer, now)
    candidates.sort(key=lambda item: item.urgency, reverse=True)
    use_bytes = sum(ENTRY_BYTES + len(use.account_id) for use in uses)
    entries = first_that_fit(candidates, MESSAGE_BYTES - use_bytes)
    sent = tables.loads.last_sent.setdefault(peer, {})
    for entry in entries:
        if entry.flows == 0 and entry.healthy is None:
            sent.pop(entry.target_id, None)
        else:
            sent[entry.target_id] = SentLoad(entry.flows, now)
    return Loads(tuple(entries), uses)


def first_that_fit(candidates: list[Candidate], room: int) -> list[TargetLoad]:
    """Return the first entries that fit into a number of bytes."""
    entries: list[TargetLoad] = []
    for candidate in candidates:
        room -= ENTRY_BYTES + len(candidate.entry.target_id)
        if room < 0:
            break
        entries.append(candidate.entry)
    return entries


def candidates_for(tables: Tables, peer: str, now: float) -> list[Candidate]:
    """Return every entry that the peer does not have, with its urgency."""
    sent = tables.loads.last_sent.get(peer, {})
    fresh = tables.loads.weight > 0.0
    found: list[Candidate] = []
    seen: set[str] = set()
    for account in tables.active_accounts.values():
        for row in account.targets:
            target_id = row.target.target_id
            seen.add(target_id)
            entry = entry_of(tables, row, now)
            earlier = sent.get(target_id)
            if earlier is not None and entry.healthy is None and not fresh:
                continue
            urgency = urgency_of(entry, earlier, now)
            if urgency > 0.0:
                found.append(Candidate(urgency, entry))
    for target_id, earlier in sent.items():
        if target_id not in seen:
            entry = TargetLoad(target_id, 0)
            found.append(Candidate(urgency_of(entry, earlier, now), entry))
    return found


def entry_of(tables: Tables, row: TargetRow, now: float) -> TargetLoad:
    """Return this host's own count and probe report of a target."""
    target_id = row.target.target_id
    report = (row.health.prober_reports or {}).get(tables.host_id)
    if report is None or report.deadline <= now:
        return TargetLoad(target_id, row.flows)
    load = None
    if report.load is not None:
        load = min(LOAD_MAX, max(0, round(report.load * LOAD_SCALE)))
    return TargetLoad(target_id, row.flows, load, report.healthy)


def urgency_of(entry: TargetLoad, sent: SentLoad | None, now: float) -> float:
    """Return the urgency of an entry for a peer; 0.0 if it need not be sent."""
    report_urgency = REPORT_URGENCY if entry.healthy is not None else 0.0
    if sent is None:
        return entry.flows + report_urgency
    waited = now - sent.sent_at
    change = abs(entry.flows - sent.flows)
    if not change and not report_urgency and waited < REPEAT_INTERVAL:
        return 0.0
    return change + report_urgency + waited * WAIT_URGENCY


def account_uses(tables: Tables, now: float) -> tuple[AccountUse, ...]:
    """Return the next few uses of accounts whose quota is contended, in turn."""
    contended = [
        (account_id, row)
        for account_id, row in tables.active_accounts.items()
        if is_contended(tables, row, now)
    ]
    start = tables.loads.messages_sent * MAX_USE_ENTRIES % max(1, len(contended))
    chosen = (contended[start:] + contended[:start])[:MAX_USE_ENTRIES]
    return tuple(
        AccountUse(account_id, next_usage_cap(tables, row, now))
        for account_id, row in chosen
    )


# Receiving ---------------------------------------------------------------------


def receive_loads(tables: Tables, peer: str, message: Loads, now: float) -> None:
    """Store the loads that a peer sent."""
    if peer not in tables.owners.positions or peer == tables.host_id:
        tables.counters["loads.stranger"] += 1
        return
    tables.loads.valid_until[peer] = now + PEER_SILENCE_TIMEOUT
    for entry in message.targets:
        row = tables.targets.get(entry.target_id)
        if row is not None:
            apply_entry(tables, peer, row, entry, now)
    for use in message.accounts:
        account = tables.accounts.get(use.account_id)
        if account is not None:
            record_peer_usage(tables, account, peer, use.open_flows, now)


def apply_entry(
    tables: Tables, peer: str, row: TargetRow, entry: TargetLoad, now: float
) -> None:
    """Store a peer's flow count and probe report of a target."""
    set_count(tables, peer, row, entry.flows, now)
    if entry.flows > 0:
        # This host may be a prober for the peer that has the flows.
        extend_activity(tables, row.account, now)
    if entry.healthy is not None and row.account.account.account_id in (
        tables.active_accounts
    ):
        load = None if entry.load is None else entry.load / LOAD_SCALE
        cycle = len(tables.owners.members) * SEND_INTERVAL
        deadline = now + 2 * PROBE_INTERVAL + 2 * cycle
        record_report(row, peer, entry.healthy, load, now, deadline)


def set_count(
    tables: Tables, peer: str, row: TargetRow, flows: int, now: float
) -> None:
    """Replace a peer's count in the sum of a target."""
    counts = tables.loads.counts.setdefault(peer, {})
    earlier = counts.pop(row.target.target_id, None)
    if earlier is not None and earlier.row is row:
        row.remote_flows -= earlier.flows
    if flows > 0:
        counts[row.target.target_id] = RemoteCount(row, flows, now + COUNT_LIFETIME)
        row.remote_flows += flows


def expire_counts(tables: Tables, peer: str, now: float) -> None:
    """Drop counts of a peer that were not repeated in time."""
    counts = tables.loads.counts.get(peer, {})
    for count in [item for item in counts.values() if item.deadline <= now]:
        set_count(tables, peer, count.row, 0, now)


def discard_departed_peers(tables: Tables) -> None:
    """Drop everything received from hosts that are no longer owners.

    Their flows are counted by the owners that take them over. If they were counted
    twice, new flows would avoid the targets they are on.
    """
    loads = tables.loads
    members = tables.owners.positions
    for peer in [name for name in loads.counts if name not in members]:
        for count in loads.counts.pop(peer).values():
            count.row.remote_flows -= count.flows
    for peer in [name for name in loads.valid_until if name not in members]:
        del loads.valid_until[peer]
    for peer in [name for name in loads.last_sent if name not in members]:
        del loads.last_sent[peer]


def count_silent_peers(tables: Tables, now: float) -> None:
    """Count the owners whose flow counts are missing or outdated."""
    peer_validity = tables.loads.valid_until
    tables.silent_peers = sum(
        peer_validity.get(name, 0.0) <= now
        for name in tables.owners.members
        if name != tables.host_id
    )
