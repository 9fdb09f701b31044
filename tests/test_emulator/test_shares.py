"""Runs in which a route's services change: open flows stay on their targets."""

from __future__ import annotations

import pytest

from citronspring.emulator.run import run_seed
from citronspring.emulator.share_faults import SHARE_KINDS
from citronspring.emulator.world import STREAMS, TRAFFIC_START, Sizes, World

#: Seconds after a change of services at which all hosts are killed.
KILL_DELAY = 4.5


def restart_all_hosts(world):
    for host in world.hosts:
        host.kill()
        host.start()


def run_changes(changes, seed=3):
    """Run a world whose streams get other services, all hosts killed after each."""
    world = World.from_seed(
        seed, Sizes(seconds=6.0 * len(changes) + 6.0, stream_requests=60)
    )
    for number, services in enumerate(changes):
        at = TRAFFIC_START + 1.0 + 6.0 * number
        world.clock.at(
            at, lambda named=services: world.change_services(STREAMS, *named)
        )
        world.clock.at(at + KILL_DELAY, lambda: restart_all_hosts(world))
    world.run()
    return world


@pytest.mark.parametrize(
    "changes",
    [
        [("archive",)],
        [("desk", "archive"), ("archive",)],
        [("archive",), ("desk", "archive"), ("desk",)],
    ],
)
def test_flows_stay_when_all_hosts_restart_after_a_change(changes):
    """A host that starts after a change drops packets of flows placed before it.

    It knows the new services of the route only, and takes the token of a flow for one
    of a foreign service.
    """
    violations = run_changes(changes).checker.violations
    assert violations == []


#: Only the faults that change services or restore the store, so that each run has some.
ONLY_CHANGES = {
    kind: action
    for kind, action in SHARE_KINDS.items()
    if kind.startswith(("change-services", "restore", "kill"))
}

#: The last one once violated a guarantee: all hosts were killed after a restore, in the
#: ten seconds in which no host wrote the former services that the backup lacked.
SEEDS = (*range(12), 210)


@pytest.mark.parametrize("kinds", [SHARE_KINDS, ONLY_CHANGES], ids=["all", "changes"])
@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_when_services_change(seed, kinds):
    sizes = Sizes(hosts_per_zone=3, warmup_seconds=2.0, stream_requests=30)
    outcome = run_seed(seed, sizes, kinds=kinds)
    assert outcome.violations == [], outcome.faults_text


def ignore_recorded_services(patch):
    patch("citronspring.tokens.route_history.mark_recorded", lambda *arguments: None)
    patch("citronspring.tokens.route_history.recorded_services", lambda *arguments: ())


def record_nothing(patch):
    patch("citronspring.tokens.route_history.may_write", lambda tables: False)


def forget_at_once(patch):
    patch("citronspring.tokens.route_history.FORGET_MARGIN", -3600.0)


@pytest.mark.parametrize(
    "mutant", [ignore_recorded_services, record_nothing, forget_at_once]
)
def test_checker_detects(mutant, monkeypatch):
    """Without the record of former services, flows break as all hosts restart."""
    mutant(monkeypatch.setattr)
    violations = run_changes([("archive",)]).checker.violations
    assert any("flows stay" in line for line in violations)
