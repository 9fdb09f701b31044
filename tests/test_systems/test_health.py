"""Target health: ejection, trials, panic threshold, slow start and probes."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from citronspring.entities import ChangeRecord, Endpoint, Snapshot
from citronspring.messages import (
    ProbeResult,
    ProbeTarget,
    RecordsRead,
    RefusalReason,
    Refuse,
    TargetUnreachable,
)
from citronspring.systems import health
from citronspring.systems.openings import ATTEMPT_TIMEOUT
from citronspring.systems.revisions import PLACEMENT_DELAY
from tests.conftest import make_account
from tests.test_systems import driver

#: Time at which slow start is over for every target of a new core.
WARM = 100.0
FAILING = "bundelpers-0"


class Callers:
    """Opens flows one after the other; named targets refuse or do not answer."""

    def __init__(self, core, shedding=(), unresponsive=()):
        self.core = core
        self.shedding = set(shedding)
        self.unresponsive = set(unresponsive)
        self.port = 1024
        self.offered = Counter()
        self.placed = Counter()
        self.refused = 0

    def open(self, count, now):
        for _ in range(count):
            self.port += 1
            actions = self.core.receive(driver.syn(driver.flow_to(port=self.port)), now)
            self.answer(actions, now)

    def answer(self, actions, now):
        """Answer as the targets do until nothing is left to answer."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, Refuse):
                self.refused += 1
            elif driver.kinds([action]) == ["SendToTarget"]:
                actions += self.answer_syn(action, now)

    def answer_syn(self, action, now):
        flow, target_id = action.packet.flow, action.target_id
        self.offered[target_id] += 1
        if target_id in self.unresponsive:
            return []
        if target_id in self.shedding:
            return self.core.receive(driver.reset(flow, target_id), now)
        self.placed[target_id] += 1
        self.core.receive(driver.syn_ack(flow, target_id), now)
        self.core.receive(driver.from_caller(flow), now)
        return []

    def tick(self, now):
        self.answer(self.core.tick(now), now)


def failing_row(core):
    return core.tables.targets[FAILING]


def probe(core, healthy, now, target_id=FAILING, load=None):
    core.receive(ProbeResult(target_id, healthy, load), now)


def peer_report(core, healthy, now, load=None):
    deadline = now + health.REPORT_LIFETIME
    health.record_report(failing_row(core), "host-1", healthy, load, now, deadline)


def test_refusing_target_is_ejected_though_its_endpoint_reports_healthy(snapshot):
    """Callers are served by other targets while one refuses everything.

    The target resets every SYN and has the fewest flows, so that it is chosen first
    each time; its endpoint reports healthy. Three refusals eject it. No caller is
    refused, since each refused opening is retried on another target.
    """
    core = driver.make_core(snapshot)
    callers = Callers(core, shedding=[FAILING])
    for step in range(100):
        probe(core, True, WARM + step / 100)
        callers.open(1, WARM + step / 100)
    assert callers.offered[FAILING] == health.FAILURES_TO_EJECT
    assert callers.refused == 0
    assert sum(callers.placed.values()) == 100


def test_ejected_target_gets_one_trial_flow_at_a_time(snapshot):
    """After its ejection a target gets one trial flow, not all new flows.

    It still refuses the first trial and is ejected for twice as long. Then it has
    recovered: one trial is placed, and no other flow until it is answered. The answer
    begins its slow start.
    """
    core = driver.make_core(snapshot)
    callers = Callers(core, shedding=[FAILING])
    callers.open(60, WARM)
    again = WARM + health.EJECTION_TIME
    callers.open(60, again)
    assert callers.offered[FAILING] == health.FAILURES_TO_EJECT + 1
    assert failing_row(core).health.ejected_until == again + 2 * health.EJECTION_TIME
    callers.shedding, callers.unresponsive = set(), {FAILING}
    later = failing_row(core).health.ejected_until
    callers.open(60, later)
    assert callers.offered[FAILING] == health.FAILURES_TO_EJECT + 2
    trial = next(flow for flow, row in core.tables.openings.items())
    core.receive(driver.syn_ack(trial, FAILING), later)
    assert not failing_row(core).health.on_probation
    callers.unresponsive = set()
    callers.open(7, later)
    assert callers.placed[FAILING] < 7
    assert failing_row(core).warm_at == later + health.SLOW_START_TIME


def test_unresponsive_target_gets_no_new_flows_and_keeps_open_ones(snapshot):
    """A flow on an unresponsive target stays bound, and new callers do not wait for it.

    The target stops answering, without a reset. Openings placed on it time out and are
    retried; three of them eject it. The open flow stays bound, as the target may
    resume.
    """
    core = driver.make_core(snapshot)
    callers = Callers(core)
    callers.open(70, WARM)
    stream = next(
        flow
        for flow, row in core.tables.flows.rows.items()
        if row.target is failing_row(core)
    )
    callers.unresponsive = {FAILING}
    callers.open(28, WARM + 1.0)
    callers.tick(WARM + 1.0 + ATTEMPT_TIMEOUT)
    assert failing_row(core).health.ejected_until > WARM + 2.0
    offered = callers.offered[FAILING]
    callers.open(50, WARM + 2.0)
    assert callers.offered[FAILING] == offered
    assert callers.refused == 0
    [action] = core.receive(driver.from_caller(stream, data=b"more"), WARM + 2.0)
    assert action.target_id == FAILING


def test_flapping_target_is_ejected_for_longer_and_longer(snapshot):
    core = driver.make_core(snapshot)
    row, now, lengths = failing_row(core), WARM, []
    for _ in range(8):
        for _ in range(health.FAILURES_TO_EJECT):
            health.note_failure(core.tables, row, now)
        lengths.append(row.health.ejected_until - now)
        now = row.health.ejected_until
        health.note_answer(row, now)
    assert lengths == [2, 4, 8, 16, 32, 60, 60, 60]
    now += health.EJECTION_RESET_TIME
    for _ in range(health.FAILURES_TO_EJECT):
        health.note_failure(core.tables, row, now)
    assert row.health.ejected_until - now == health.EJECTION_TIME


def test_two_healthy_targets_of_seven_get_the_new_flows(snapshot):
    """Most targets refuse at once; the two that work are used.

    Five of seven are ejected, more than half. The two others are preferred, so that
    callers do not wait for failing targets; the five stay available.
    """
    core = driver.make_core(snapshot)
    core.tables.accounts["bundelpers"].retry_balance = 50.0
    callers = Callers(core, shedding=[f"bundelpers-{n}" for n in range(5)])
    callers.open(60, WARM)
    assert callers.refused == 0
    assert set(callers.placed) == {"bundelpers-5", "bundelpers-6"}
    assert sum(callers.offered[f"bundelpers-{n}"] for n in range(5)) <= 15


def test_account_always_has_targets_and_its_last_one_is_not_overloaded(snapshot):
    """When all targets fail, all are used, and the first to recover is not overloaded.

    A fault near this host made every opening fail, so every target is ejected. New
    callers are still sent to targets. The first one that answers does not get all
    flows: above four times the mean the others are used again.
    """
    core = driver.make_core(snapshot)
    for row in core.tables.accounts["bundelpers"].targets:
        health.eject(core.tables, row, WARM)
    callers = Callers(core)
    callers.open(1, WARM)
    assert sum(callers.placed.values()) == 1
    callers.open(69, WARM)
    assert callers.refused == 0
    assert max(callers.placed.values()) < 50


def test_no_trial_while_the_retry_budget_is_spent(snapshot):
    core = driver.make_core(snapshot)
    row = failing_row(core)
    health.eject(core.tables, row, WARM)
    row.account.retry_balance = 0.0
    assert health.is_excluded(core.tables, row, row.health.ejected_until)
    row.account.retry_balance = 1.0
    assert not health.is_excluded(core.tables, row, row.health.ejected_until)


def test_unreachable_target_is_ejected(snapshot):
    core = driver.make_core(snapshot)
    for _ in range(health.FAILURES_TO_EJECT):
        core.receive(TargetUnreachable(FAILING), WARM)
    assert failing_row(core).health.ejected_until > WARM
    core.receive(TargetUnreachable("nobody"), WARM)


def test_single_prober_cannot_exclude_a_working_target(snapshot):
    """A target whose health endpoint is wrong keeps serving callers.

    One prober reports it unhealthy: it gets fewer flows. Both do, and no opening has
    succeeded since: it gets a single trial flow, and no other for seconds. One
    successful opening outweighs both reports.
    """
    core = driver.make_core(snapshot, hosts=2)
    row = failing_row(core)
    probe(core, False, WARM)
    assert not health.is_excluded(core.tables, row, WARM)
    assert health.load_factor(row, WARM) == health.UNHEALTHY_WEIGHT
    peer_report(core, False, WARM)
    assert not health.is_excluded(core.tables, row, WARM)
    health.note_placed(row, WARM)
    assert health.is_excluded(core.tables, row, WARM + 1.0)
    health.note_answer(row, WARM + 1.0)
    probe(core, False, WARM + 2.0)
    peer_report(core, False, WARM + 2.0)
    assert not health.is_excluded(core.tables, row, WARM + 2.0)


def test_reports_of_unresponsive_probers_expire(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    row = failing_row(core)
    probe(core, False, WARM)
    peer_report(core, False, WARM)
    assert not health.is_excluded(core.tables, row, WARM + health.REPORT_LIFETIME)
    assert health.load_factor(row, WARM + health.REPORT_LIFETIME) == 1.0


def test_prober_needs_two_results_to_change_its_report(snapshot):
    """A flapping endpoint does not make flows oscillate between targets."""
    core = driver.make_core(snapshot, hosts=2)
    row = failing_row(core)
    said = []
    for step, healthy in enumerate([True, False, True, False, False, True, True]):
        probe(core, healthy, WARM + 2 * step)
        said.append(row.health.prober_reports["host-0"].healthy)
    assert said == [True, True, True, True, False, False, True]


def test_reported_load_moves_few_flows(snapshot):
    core = driver.make_core(snapshot)
    probe(core, True, WARM, load=2.0)
    callers = Callers(core)
    callers.open(700, WARM)
    assert 75 <= callers.placed[FAILING] < 100


def test_new_target_takes_a_growing_share(snapshot):
    """A target that was just added does not get every new flow at once.

    It has no flows, so it is the least loaded by far; all flows placed on it while it
    warms up would stall. Its share grows with time until it equals that of the others.
    """
    core = driver.make_core(snapshot)
    callers = Callers(core)
    callers.open(700, WARM)
    record = ChangeRecord(2, "more", "bundelpers", make_account(targets=8))
    core.receive(RecordsRead((record,)), WARM)
    shares = []
    start = WARM + PLACEMENT_DELAY
    for part in (0.0, 0.5, 1.0):
        callers.open(70, start + part * health.SLOW_START_TIME)
        shares.append(callers.placed["bundelpers-7"])
    assert 5 <= shares[0] <= 15
    assert 40 <= shares[1] <= 70
    assert shares[2] > shares[1] + 40


def with_endpoints(snapshot):
    account = snapshot.accounts[0]
    targets = [
        replace(target, health=Endpoint(target.tunnel.ip, 8080))
        for target in account.targets
    ]
    return Snapshot(1, (driver.with_targets(account, targets),))


def test_two_hosts_probe_each_target_every_two_seconds(snapshot):
    probes = Counter()
    for index in range(5):
        core = driver.make_core(with_endpoints(snapshot), 5, index)
        core.receive(driver.syn(driver.owned_flow(core)), 0.0)
        asked = []
        for step in range(200):
            health.request_probes(core.tables, step / 10, asked)
        probes.update(action.target_id for action in asked)
    assert len(probes) == 7
    assert all(18 <= number <= 22 for number in probes.values())


def test_target_without_endpoint_is_not_probed_and_refusal_gives_a_retry_time(snapshot):
    core = driver.make_core(Snapshot(1, (make_account(targets=1),)))
    callers = Callers(core, shedding=[FAILING])
    callers.open(3, WARM)
    assert not [item for item in core.tick(WARM) if isinstance(item, ProbeTarget)]
    actions = core.receive(driver.syn(driver.flow_to()), WARM + 0.25)
    actions = core.receive(driver.reset(driver.flow_to(), FAILING), WARM + 0.25)
    assert actions[0].reason is RefusalReason.NO_HEALTHY_TARGET
    assert actions[0].retry_at == failing_row(core).health.ejected_until
