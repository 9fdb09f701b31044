"""Health: which targets new flows keep away from, and for how long.

What this owner sees of its own openings comes first; endpoints lag and mislead, so
what they say only weighs, unless both probers agree and no opening shows otherwise.
Streams that are open stay where they are, whatever is decided here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.load_rows import UNKNOWN_HEALTH, ProberReport
from citronspring.messages import ProbeTarget
from citronspring.rendezvous import ranked, score

if TYPE_CHECKING:
    from citronspring.messages import Action, ProbeResult
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Openings in a row without an answer after which a target is ejected.
FAILURES_TO_EJECT = 3

#: Seconds of the first ejection; each one in a row lasts twice as long.
EJECTION_TIME = 2.0
EJECTION_TIME_MAX = 60.0

#: Seconds a target must answer before its earlier ejections are forgiven. A
#: target that flaps faster is ejected for longer and longer.
EJECTION_RESET_TIME = 60.0

#: Seconds between two trial flows of one owner on a target that was ejected;
#: longer than an opening attempt, so that one trial is over before the next.
TRIAL_INTERVAL = 1.0

#: Seconds between two trial flows on a target that only its probers call unhealthy.
DISPUTED_TRIAL_INTERVAL = 5.0

#: Seconds over which a new or returning target takes a growing share of load.
SLOW_START_TIME = 30.0

#: Share of load at which the ramp begins.
SLOW_START_SHARE = 0.1

#: Hosts that probe each target.
PROBERS = 2

#: Seconds between two probes of a target by one prober.
PROBE_INTERVAL = 2.0

#: Results in a row that a prober needs to change its mind.
PROBES_TO_CHANGE = 2

#: Seconds a probe's result counts; two probes may be lost.
REPORT_LIFETIME = 7.0

#: How much a reported load of 1.0 makes a target look fuller. Small, since load
#: endpoints lag: more would swing flows to and fro between targets.
LOAD_WEIGHT = 0.1

#: How much fuller a target looks that a prober alone calls unhealthy.
UNHEALTHY_WEIGHT = 2.0


def note_answer(row: TargetRow, now: float) -> None:
    """A target answered an opening: whatever was held against it is past."""
    health = row.writable_health()
    health.failures = 0
    health.answered_at = now
    if health.on_probation:
        health.on_probation = False
        health.ejected_until = 0.0
        health.ejections_reset_at = now + EJECTION_RESET_TIME
        row.warm_at = now + SLOW_START_TIME


def note_failure(tables: Tables, row: TargetRow, now: float) -> None:
    """A target refused an opening, left it unanswered, or was not reached."""
    health = row.writable_health()
    if health.ejected_until > now:
        return
    health.failures += 1
    if health.on_probation or health.failures >= FAILURES_TO_EJECT:
        eject(tables, row, now)


def eject(tables: Tables, row: TargetRow, now: float) -> None:
    """Keep new flows away from a target, longer each time."""
    health = row.writable_health()
    if not health.on_probation and health.ejections_reset_at <= now:
        health.ejections = 0
    health.on_probation = True
    lasting = min(EJECTION_TIME_MAX, EJECTION_TIME * 2**health.ejections)
    health.ejections += 1
    health.failures = 0
    health.ejected_until = now + lasting
    health.trial_until = 0.0
    tables.counters["targets.ejected"] += 1


def is_excluded(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether new flows keep away from the target, as long as others are left.

    An ejected target is tried again by one flow at a time: were all let in at
    once, every caller of that moment would wait for a target that still fails.
    """
    health = row.health
    if health.ejected_until > now:
        return True
    if health.on_probation:
        return health.trial_until > now or row.account.retry_balance < 1.0
    if health.prober_reports is None or not probers_agree(tables, row, now):
        return False
    # Without a trial now and then no opening could ever prove both probers wrong.
    return health.trial_until > now


def note_placed(row: TargetRow, now: float) -> None:
    """A new flow was placed on the target: it is the trial, if one is due."""
    health = row.health
    if health.on_probation:
        health.trial_until = now + TRIAL_INTERVAL
    elif health.prober_reports is not None:
        health.trial_until = now + DISPUTED_TRIAL_INTERVAL


def discard_reports(row: TargetRow) -> None:
    """Forget what an idle account's target need not be remembered for."""
    row.health.prober_reports = None
    if not row.health.on_probation:
        row.health = UNKNOWN_HEALTH


def probers_agree(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether all probers call the target unhealthy and no opening disproves it."""
    notes = current_reports(row, now)
    needed = min(PROBERS, len(tables.owners.members))
    if len(notes) < needed or any(note.healthy for note in notes):
        return False
    return row.health.answered_at < min(note.since for note in notes)


def current_reports(row: TargetRow, now: float) -> list[ProberReport]:
    """Return what probers said of the target lately."""
    if row.health.prober_reports is None:
        return []
    return [note for note in row.health.prober_reports.values() if note.deadline > now]


def load_factor(row: TargetRow, now: float) -> float:
    """Return how much fuller than it is the target is to look to new flows."""
    weight = 1.0
    if row.warm_at > now:
        weight /= max(SLOW_START_SHARE, 1.0 - (row.warm_at - now) / SLOW_START_TIME)
    if row.health.prober_reports is None:
        return weight
    notes = current_reports(row, now)
    loads = [note.load for note in notes if note.load is not None]
    if loads:
        weight *= 1.0 + LOAD_WEIGHT * sum(loads) / len(loads)
    if any(not note.healthy for note in notes):
        weight *= UNHEALTHY_WEIGHT
    return weight


def next_trial_at(account: AccountRow, now: float) -> float | None:
    """Return when the first target out of service is tried again, if one is."""
    times = [
        max(row.health.ejected_until, row.placeable_from) for row in account.targets
    ]
    return min((time for time in times if time > now), default=None)


# Probes ------------------------------------------------------------------------


def request_probes(tables: Tables, now: float, actions: list[Action]) -> None:
    """Ask for the probes that are due of active accounts' targets."""
    for account in tables.active_accounts.values():
        for row in account.targets:
            if row.probe_at <= now and row.target.health is not None:
                row.probe_at = next_probe(tables, row, now)
                if is_prober(tables, row):
                    actions.append(ProbeTarget(row.target.target_id))


def next_probe(tables: Tables, row: TargetRow, now: float) -> float:
    """Return the next probe time; hashed, so that probes do not come in bursts."""
    spread = score(tables.host_id.encode(), row.seed) % 1000 / 1000
    phase = spread * PROBE_INTERVAL
    passed = (now - phase) // PROBE_INTERVAL + 1
    return phase + passed * PROBE_INTERVAL


def is_prober(tables: Tables, row: TargetRow) -> bool:
    """Whether this host is one of the target's probers."""
    order = ranked(row.target.target_id.encode(), tables.owners.members)
    return tables.host_id in order[:PROBERS]


def record_probe_result(tables: Tables, event: ProbeResult, now: float) -> None:
    """Keep a probe's result; a change of mind takes several in a row."""
    row = tables.targets.get(event.target_id)
    if row is None:
        return
    note = (row.health.prober_reports or {}).get(tables.host_id)
    healthy = event.healthy
    contrary = 0
    if note is not None and note.healthy != healthy:
        contrary = note.contrary_results + 1
        if contrary < PROBES_TO_CHANGE:
            healthy = note.healthy
        else:
            contrary = 0
    deadline = now + REPORT_LIFETIME
    record_report(row, tables.host_id, healthy, event.load, now, deadline)
    assert row.health.prober_reports is not None
    row.health.prober_reports[tables.host_id].contrary_results = contrary


def record_report(
    row: TargetRow,
    prober: str,
    healthy: bool,
    load: float | None,
    now: float,
    deadline: float,
) -> None:
    """Keep what a prober says of a target."""
    health = row.writable_health()
    if health.prober_reports is None:
        health.prober_reports = {}
    earlier = health.prober_reports.get(prober)
    since = now
    if earlier is not None and earlier.deadline > now and earlier.healthy == healthy:
        since = earlier.since
    health.prober_reports[prober] = ProberReport(healthy, load, since, deadline)


def record_unreachable(tables: Tables, target_id: str, now: float) -> None:
    """The network said that a target's tunnel takes no packets."""
    row = tables.targets.get(target_id)
    if row is not None:
        note_failure(tables, row, now)
