"""Loads: owners tell each other what they placed, within a byte budget.

Twice a second a host tells one peer, each in turn, what changed since it last told
that peer. What peers told is summed up in the target rows; it vanishes with the
peer, or when it was not repeated for long.
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

#: Bytes of entries in one message. With the envelope and the headers of two
#: datagrams a second, a host spends about 1 KB/s.
MESSAGE_BYTES = 384

#: Bytes of an entry beside its id.
ENTRY_BYTES = 9

#: Account uses of one message; loads are left room.
MAX_USE_ENTRIES = 6

#: Seconds after which an unchanged entry is told again, as datagrams get lost.
REPEAT_INTERVAL = 30.0

#: Seconds that a told count stands; several repetitions.
COUNT_LIFETIME = 120.0

#: Seconds without any message after which a peer's flows count as unknown.
PEER_SILENCE_TIMEOUT = 45.0

#: Each second that an entry waits is as urgent as this many flows of change.
WAIT_URGENCY = 0.05

#: A probed state is as urgent as this many flows of change.
REPORT_URGENCY = 8.0

#: How much fresh counts of peers matter in placement.
FRESH_WEIGHT = 0.5

#: Counts are fresh if every peer is told all of them within this many seconds.
#: Older ones make imbalance worse, so that they are neither told nor used.
FRESH_CYCLE = 10.0

#: Entries that go into one message, for the length of the cycle.
TYPICAL_ENTRIES = 18

#: One byte of load stands for 0.0 to 2.0.
LOAD_SCALE = 127.5
LOAD_MAX = 255


@dataclass(slots=True)
class Candidate:
    """An entry that may go into the next message."""

    urgency: float
    entry: TargetLoad


def send_loads(tables: Tables, now: float, actions: list[Action]) -> None:
    """Tell the peer whose turn it is what changed."""
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
    """Whether the budget lets every peer know all counts while they are fresh."""
    entries = sum(len(row.targets) for row in tables.active_accounts.values())
    messages = peers * (1 + entries // TYPICAL_ENTRIES)
    return messages * SEND_INTERVAL <= FRESH_CYCLE


def build_message(tables: Tables, peer: str, now: float) -> Loads:
    """Return the most urgent entries for a peer, and note them as told."""
    uses = account_uses(tables, now)
    candidates = candidates_for(tables, peer, now)
    candidates.sort(key=lambda item: item.urgency, reverse=True)
    used = sum(ENTRY_BYTES + len(use.account_id) for use in uses)
    entries = first_that_fit(candidates, MESSAGE_BYTES - used)
    told = tables.loads.last_sent.setdefault(peer, {})
    for entry in entries:
        if entry.flows == 0 and entry.healthy is None:
            told.pop(entry.target_id, None)
        else:
            told[entry.target_id] = SentLoad(entry.flows, now)
    return Loads(tuple(entries), uses)


def first_that_fit(candidates: list[Candidate], room: int) -> list[TargetLoad]:
    """Return the entries from the front that fit into a number of bytes."""
    entries: list[TargetLoad] = []
    for candidate in candidates:
        room -= ENTRY_BYTES + len(candidate.entry.target_id)
        if room < 0:
            break
        entries.append(candidate.entry)
    return entries


def candidates_for(tables: Tables, peer: str, now: float) -> list[Candidate]:
    """Return every entry that the peer does not know, with its urgency."""
    told = tables.loads.last_sent.get(peer, {})
    fresh = tables.loads.weight > 0.0
    found: list[Candidate] = []
    seen: set[str] = set()
    for account in tables.active_accounts.values():
        for row in account.targets:
            target_id = row.target.target_id
            seen.add(target_id)
            entry = entry_of(tables, row, now)
            earlier = told.get(target_id)
            if earlier is not None and entry.healthy is None and not fresh:
                continue
            urgency = urgency_of(entry, earlier, now)
            if urgency > 0.0:
                found.append(Candidate(urgency, entry))
    for target_id, earlier in told.items():
        if target_id not in seen:
            entry = TargetLoad(target_id, 0)
            found.append(Candidate(urgency_of(entry, earlier, now), entry))
    return found


def entry_of(tables: Tables, row: TargetRow, now: float) -> TargetLoad:
    """Return what this host knows of a target at first hand."""
    target_id = row.target.target_id
    note = (row.health.prober_reports or {}).get(tables.host_id)
    if note is None or note.deadline <= now:
        return TargetLoad(target_id, row.flows)
    load = None
    if note.load is not None:
        load = min(LOAD_MAX, max(0, round(note.load * LOAD_SCALE)))
    return TargetLoad(target_id, row.flows, load, note.healthy)


def urgency_of(entry: TargetLoad, told: SentLoad | None, now: float) -> float:
    """Return how much a peer needs an entry; 0.0 if it need not be told."""
    noted = REPORT_URGENCY if entry.healthy is not None else 0.0
    if told is None:
        return entry.flows + noted
    waited = now - told.sent_at
    change = abs(entry.flows - told.flows)
    if not change and not noted and waited < REPEAT_INTERVAL:
        return 0.0
    return change + noted + waited * WAIT_URGENCY


def account_uses(tables: Tables, now: float) -> tuple[AccountUse, ...]:
    """Return the uses of accounts of which some owner is pressed, some each turn."""
    pressed = [
        (account_id, row)
        for account_id, row in tables.active_accounts.items()
        if is_contended(tables, row, now)
    ]
    start = tables.loads.messages_sent * MAX_USE_ENTRIES % max(1, len(pressed))
    chosen = (pressed[start:] + pressed[:start])[:MAX_USE_ENTRIES]
    return tuple(
        AccountUse(account_id, next_usage_cap(tables, row, now))
        for account_id, row in chosen
    )


# What peers tell ---------------------------------------------------------------


def receive_loads(tables: Tables, peer: str, message: Loads, now: float) -> None:
    """Keep what a peer told."""
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
    """Keep a peer's count of a target, and its probed state."""
    set_count(tables, peer, row, entry.flows, now)
    if entry.flows > 0:
        # This host may be the one that probes for the peer that has the flows.
        extend_activity(tables, row.account, now)
    if entry.healthy is not None and row.account.account.account_id in (
        tables.active_accounts
    ):
        load = None if entry.load is None else entry.load / LOAD_SCALE
        turns = len(tables.owners.members) * SEND_INTERVAL
        deadline = now + 2 * PROBE_INTERVAL + 2 * turns
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
    """Drop counts of a peer that were not repeated."""
    counts = tables.loads.counts.get(peer, {})
    for note in [item for item in counts.values() if item.deadline <= now]:
        set_count(tables, peer, note.row, 0, now)


def discard_departed_peers(tables: Tables) -> None:
    """Drop all that hosts told which own nothing any longer.

    Their flows are counted by the owners that take them over; counted twice, they
    would keep new flows away from the targets they are on.
    """
    loads = tables.loads
    members = tables.owners.positions
    for peer in [name for name in loads.counts if name not in members]:
        for note in loads.counts.pop(peer).values():
            note.row.remote_flows -= note.flows
    for peer in [name for name in loads.valid_until if name not in members]:
        del loads.valid_until[peer]
    for peer in [name for name in loads.last_sent if name not in members]:
        del loads.last_sent[peer]


def count_silent_peers(tables: Tables, now: float) -> None:
    """Count the owners of whose flows nothing fresh is known."""
    heard = tables.loads.valid_until
    tables.silent_peers = sum(
        heard.get(name, 0.0) <= now
        for name in tables.owners.members
        if name != tables.host_id
    )
