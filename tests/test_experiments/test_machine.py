"""Hypothesis makes the runs: faults in any order, any number, at any distance."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from citronspring.experiments.checker import check
from citronspring.experiments.faults import apply_fault
from citronspring.experiments.run import Run
from citronspring.experiments.scenario import Fault, FaultKind, Scenario

#: Seconds of traffic in which the faults come, and requests a second.
DURATION = 20.0
ARRIVALS = 10.0


class FaultMachine(RuleBasedStateMachine):
    """A system under faults of hypothesis's choosing, judged at the end.

    Callers open requests all the time. Each step is a fault or a pause; so faults
    meet before the last one has healed, come twice, or hit a system that recovers.
    """

    @initialize(seed=st.integers(0, 10_000), hosts=st.sampled_from((3, 6)))
    def begin(self, seed, hosts):
        scenario = Scenario(seed, DURATION, hosts, ARRIVALS, loss=0.01, duplication=0.0)
        self.run = Run.from_scenario(scenario)
        self.run.start()
        self.run.network.run_until(self.run.network.now + 3.0)
        self.end = self.run.network.now + DURATION
        self.run.workload.arrive(self.end, ARRIVALS)

    @rule(kind=st.sampled_from(list(FaultKind)), lasting=st.floats(0.2, 6.0))
    def inject_fault(self, kind, lasting):
        now = self.run.network.now
        apply_fault(self.run, Fault(now, kind, now + lasting))

    @rule(seconds=st.floats(0.05, 4.0))
    def wait(self, seconds):
        self.run.network.run_until(self.run.network.now + seconds)

    def teardown(self):
        if hasattr(self, "run"):
            self.run.finish(max(self.end, self.run.network.now))
            assert [str(item) for item in check(self.run.history)] == []


TestFaults = FaultMachine.TestCase
TestFaults.settings = settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
