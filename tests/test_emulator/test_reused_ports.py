"""Callers use the ports of closed flows again, while hosts stop and return."""

from __future__ import annotations

import pytest

from citronspring.emulator.faults import KINDS, stop_host
from citronspring.emulator.run import run_seed
from citronspring.emulator.world import Sizes

SIZES = Sizes(hosts_per_zone=3, callers_per_second=10.0, port_reuses=4)

SEEDS = range(12)

#: Seeds in which the row of an earlier flow decided over a packet's token.
KEPT_SEEDS = (68, 71, 77)

#: Seeds in which a host that had been frozen forwarded packets of ended flows.
FROZEN_SEEDS = (21, 30, 33)


@pytest.mark.parametrize("seed", (*SEEDS, *FROZEN_SEEDS))
def test_flows_of_reused_ports_stay_under_all_faults(seed):
    outcome = run_seed(seed, SIZES, kinds=KINDS)
    assert outcome.violations == [], outcome.faults_text


@pytest.mark.parametrize("seed", KEPT_SEEDS)
def test_flows_of_reused_ports_stay_when_hosts_stop(seed):
    outcome = run_seed(seed, SIZES, kinds={"stop-host": stop_host})
    assert outcome.violations == [], outcome.faults_text


@pytest.mark.parametrize(
    ("mutated", "seed"),
    [("forwarding.is_of_another_flow", 68), ("forwarding.may_be_outdated", 21)],
)
def test_checker_detects(mutated, seed, monkeypatch):
    monkeypatch.setattr(f"citronspring.tokens.{mutated}", lambda *arguments: False)
    kinds = {"stop-host": stop_host} if seed in KEPT_SEEDS else KINDS
    outcome = run_seed(seed, SIZES, kinds=kinds)
    assert any("flows stay" in line for line in outcome.violations)
