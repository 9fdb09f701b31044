"""Target health: which targets get no new flows, and for how long.

The results of this owner's own openings take precedence. Health endpoints can be slow
or wrong, so their reports only change the load factor, unless both probers agree and no
opening contradicts them. Open flows stay on their targets in any case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.load_rows import UNKNOWN_HEALTH, ProberReport
from citronspring.messages import ProbeTarget
from citronspring.rendezvous import ranked, score

if TYPE_CHECKING:
    from citronspring.messages import Action, ProbeResult
    from citronspring.tables import AccountRow, Tables, TargetRow

#: Consecutive openings without an answer after which a target is ejected.
FAILURES_TO_EJECT = 3

#: Seconds of the first ejection; each consecutive one lasts twice as long.
EJECTION_TIME = 2.0
EJECTION_TIME_MAX = 60.0

#: Seconds a target must answer before its count of ejections is reset. A target that
#: flaps faster is ejected for longer and longer.
EJECTION_RESET_TIME = 60.0

#: Seconds between two trial flows of one owner on an ejected target. This is longer
#: than an opening attempt, so that one trial is over before the next.
TRIAL_INTERVAL = 1.0

#: Seconds between two trial flows on a target that only its probers call unhealthy.
DISPUTED_TRIAL_INTERVAL = 5.0

#: Seconds of slow start of a new or returning target, during which its share of load
#: grows.
SLOW_START_TIME = 30.0

#: Share of load at which slow start begins.
SLOW_START_SHARE = 0.1

#: Hosts that probe each target.
PROBERS = 2

#: Seconds between two probes of a target by one prober.
PROBE_INTERVAL = 2.0

#: Consecutive results after which a prober changes its report.
PROBES_TO_CHANGE = 2

#: Seconds for which a probe's result is valid; two probes may be lost.
REPORT_LIFETIME = 7.0

#: Increase of a target's load factor at a reported load of 1.0. Small, since load
#: endpoints lag: a larger one would make flows oscillate between targets.
LOAD_WEIGHT = 0.1

#: Factor on the load of a target that only probers call unhealthy.
UNHEALTHY_WEIGHT = 2.0


def note_answer(row: TargetRow, now: float) -> None:
    """Record that a target answered an opening, and end its probation."""
    health = row.writable_health()
    health.failures = 0
    health.answered_at = now
    if health.on_probation:
        health.on_probation = False
        health.ejected_until = 0.0
        health.ejections_reset_at = now + EJECTION_RESET_TIME
        row.warm_at = now + SLOW_START_TIME


def note_failure(tables: Tables, row: TargetRow, now: float) -> None:
    """Record that a target refused an opening, did not answer or was unreachable."""
    health = row.writable_health()
    if health.ejected_until > now:
        return
    health.failures += 1
    if health.on_probation or health.failures >= FAILURES_TO_EJECT:
        eject(tables, row, now)


def eject(tables: Tables, row: TargetRow, now: float) -> None:
    """Exclude a target from new flows, for longer each time."""
    health = row.writable_health()
    if not health.on_probation and health.ejections_reset_at <= now:
        health.ejections = 0
    health.on_probation = True
    duration = min(EJECTION_TIME_MAX, EJECTION_TIME * 2**health.ejections)
    health.ejections += 1
    health.failures = 0
    health.ejected_until = now + duration
    health.trial_until = 0.0
    tables.counters["targets.ejected"] += 1


def is_excluded(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether the target gets no new flows as long as others are available.

    An ejected target is retried with one flow at a time. If all were admitted at once,
    every caller of that moment would wait for a target that still fails.
    """
    health = row.health
    if health.ejected_until > now:
        return True
    if health.on_probation:
        return health.trial_until > now or row.account.retry_balance < 1.0
    if health.prober_reports is None or not probers_agree(tables, row, now):
        return False
    # Without occasional trial flows no opening could prove both probers wrong.
    return health.trial_until > now


def note_placed(row: TargetRow, now: float) -> None:
    """Record that a new flow was placed on the target, as the trial if one is due."""
    health = row.health
    if health.on_probation:
        health.trial_until = now + TRIAL_INTERVAL
    elif health.prober_reports is not None:
        health.trial_until = now + DISPUTED_TRIAL_INTERVAL


def discard_reports(row: TargetRow) -> None:
    """Discard the prober reports of an idle account's target."""
    row.health.prober_reports = None
    if not row.health.on_probation:
        row.health = UNKNOWN_HEALTH


def probers_agree(tables: Tables, row: TargetRow, now: float) -> bool:
    """Whether all probers call the target unhealthy and no opening disproves it."""
    reports = current_reports(row, now)
    needed = min(PROBERS, len(tables.owners.members))
    if len(reports) < needed or any(report.healthy for report in reports):
        return False
    return row.health.answered_at < min(report.since for report in reports)


def current_reports(row: TargetRow, now: float) -> list[ProberReport]:
    """Return the reports about the target that are still valid."""
    if row.health.prober_reports is None:
        return []
    return [
        report for report in row.health.prober_reports.values() if report.deadline > now
    ]


def load_factor(row: TargetRow, now: float) -> float:
    """Return the factor applied to the target's load in placement."""
    weight = 1.0
    if row.warm_at > now:
        weight /= max(SLOW_START_SHARE, 1.0 - (row.warm_at - now) / SLOW_START_TIME)
    if row.health.prober_reports is None:
        return weight
    reports = current_reports(row, now)
    loads = [report.load for report in reports if report.load is not None]
    if loads:
        weight *= 1.0 + LOAD_WEIGHT * sum(loads) / len(loads)
    if any(not report.healthy for report in reports):
        weight *= UNHEALTHY_WEIGHT
    return weight


def next_trial_at(account: AccountRow, now: float) -> float | None:
    """Return when the first excluded target is tried again; None if none is."""
    times = [
        max(row.health.ejected_until, row.placeable_from) for row in account.targets
    ]
    return min((time for time in times if time > now), default=None)


# Probes ------------------------------------------------------------------------


def request_probes(tables: Tables, now: float, actions: list[Action]) -> None:
    """Request the probes that are due for targets of active accounts."""
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
    periods = (now - phase) // PROBE_INTERVAL + 1
    return phase + periods * PROBE_INTERVAL


def is_prober(tables: Tables, row: TargetRow) -> bool:
    """Whether this host is one of the target's probers."""
    order = ranked(row.target.target_id.encode(), tables.owners.members)
    return tables.host_id in order[:PROBERS]


def record_probe_result(tables: Tables, event: ProbeResult, now: float) -> None:
    """Record a probe's result; the report changes after several in a row."""
    row = tables.targets.get(event.target_id)
    if row is None:
        return
    report = (row.health.prober_reports or {}).get(tables.host_id)
    healthy = event.healthy
    contrary = 0
    if report is not None and report.healthy != healthy:
        contrary = report.contrary_results + 1
        if contrary < PROBES_TO_CHANGE:
            healthy = report.healthy
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
    """Store a prober's report about a target."""
    health = row.writable_health()
    if health.prober_reports is None:
        health.prober_reports = {}
    earlier = health.prober_reports.get(prober)
    since = now
    if earlier is not None and earlier.deadline > now and earlier.healthy == healthy:
        since = earlier.since
    health.prober_reports[prober] = ProberReport(healthy, load, since, deadline)


def record_unreachable(tables: Tables, target_id: str, now: float) -> None:
    """Record that the network reported a target's tunnel as unreachable."""
    row = tables.targets.get(target_id)
    if row is not None:
        note_failure(tables, row, now)
