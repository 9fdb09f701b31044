"""Timings and counts of a host, in the text format of Prometheus."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from citronspring.balancer import Balancer
from citronspring.messages import PacketReceived, RelayReceived
from citronspring.tables import FlowState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from citronspring.entities import FlowKey
    from citronspring.messages import Action, Event
    from citronspring.tables import OpeningRow, Tables

#: Largest recorded time in microseconds; a longer one counts as this.
MAX_MICROSECONDS = 3_600_000_000

#: Significant digits of a recorded time; two keep a recorder at 27 kB.
SIGNIFICANT_DIGITS = 2

#: One in this many decisions is timed; timing each would slow the packet path.
DECISION_SAMPLE = 16

QUANTILES = (0.5, 0.99, 0.999)


class TimeRecorder:
    """Records times in a histogram of fixed size."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one time."""
        microseconds = min(max(1, round(seconds * 1e6)), MAX_MICROSECONDS)
        self.histogram.record_value(microseconds)

    @property
    def count(self) -> int:
        """Number of recorded times."""
        return int(self.histogram.total_count)

    def total(self) -> float:
        """Return the sum of all times in seconds."""
        return self.histogram.get_mean_value() * self.count / 1e6 if self.count else 0.0

    def quantiles(self) -> dict[float, float]:
        """Return the quantiles in seconds; empty if nothing is recorded."""
        if not self.count:
            return {}
        value = self.histogram.get_value_at_percentile
        return {quantile: value(quantile * 100) / 1e6 for quantile in QUANTILES}


@dataclass(slots=True)
class RevisionLag:
    """Time from first learning of a revision until this host has applied it."""

    recorder: TimeRecorder = field(default_factory=TimeRecorder)
    #: The first revision that is known but not applied, and when it became known.
    pending_revision: int = 0
    pending_since: float = 0.0

    def observe(self, tables: Tables, now: float) -> None:
        """Compare the newest revision reported by any host with this host's."""
        if self.pending_revision and tables.revision >= self.pending_revision:
            self.recorder.record(now - self.pending_since)
            self.pending_revision = 0
        newest = max(row.revision for row in tables.hosts.values())
        if not self.pending_revision and newest > tables.revision:
            self.pending_revision = newest
            self.pending_since = now


class MeasuredBalancer(Balancer):
    """The decision core, with timings taken around it."""

    def __init__(self, tables: Tables) -> None:
        super().__init__(tables)
        #: Time from the caller's SYN to the target's answer that the caller confirmed.
        self.opening_time = TimeRecorder()
        self.decision_time = TimeRecorder()
        self.revision_lag = RevisionLag()
        #: Packets until the next decision is timed.
        self.until_next_sample = DECISION_SAMPLE
        self.timer: Callable[[], float] = time.perf_counter

    def receive(self, event: Event, now: float) -> list[Action]:
        """Handle one event; time a sample of packets."""
        # A match on classes would take half as long as a decision for each packet.
        if isinstance(event, PacketReceived):
            flow = event.packet.flow
        elif isinstance(event, RelayReceived):
            flow = event.flow
        else:
            return Balancer.receive(self, event, now)
        self.until_next_sample -= 1
        opening = self.tables.openings.get(flow)
        if opening is None and self.until_next_sample:
            return Balancer.receive(self, event, now)
        return self.receive_measured(event, flow, opening, now)

    def receive_measured(
        self, event: Event, flow: FlowKey, opening: OpeningRow | None, now: float
    ) -> list[Action]:
        """Handle a packet that is timed or belongs to an opening."""
        started_at = self.timer()
        actions = Balancer.receive(self, event, now)
        if self.until_next_sample <= 0:
            self.until_next_sample = DECISION_SAMPLE
            self.decision_time.record(self.timer() - started_at)
        if opening is not None:
            self.note_opening(flow, opening, now)
        return actions

    def note_opening(self, flow: FlowKey, opening: OpeningRow, now: float) -> None:
        """Record the time of an opening that was established just now."""
        row = self.tables.flows.rows.get(flow)
        if flow in self.tables.openings or row is None:
            return
        if row.state == FlowState.ESTABLISHED:
            limits = row.target.account.account.limits
            self.opening_time.record(now - opening.deadline + limits.opening_timeout)

    def tick(self, now: float) -> list[Action]:
        """Run the timers of the core."""
        actions = super().tick(now)
        self.revision_lag.observe(self.tables, now)
        return actions

    def recorders(self) -> dict[str, TimeRecorder]:
        """Return the recorders by the name of the measured quantity."""
        return {
            "opening_time": self.opening_time,
            "decision_time": self.decision_time,
            "revision_lag": self.revision_lag.recorder,
        }

    def dump(self) -> dict[str, object]:
        """Return the state as plain values, with the timings."""
        timings = {
            name: {"count": recorder.count}
            | {
                f"p{quantile * 100:g}": at
                for quantile, at in recorder.quantiles().items()
            }
            for name, recorder in self.recorders().items()
        }
        return {**super().dump(), "timings_seconds": timings}


class HostCollector(Collector):
    """Collects the metrics from the core's tables on each request."""

    def __init__(self, core: MeasuredBalancer) -> None:
        self.core = core

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        yield from self.collect_counters()
        yield from self.collect_sizes()
        yield from self.collect_hosts()
        yield from self.collect_accounts()
        for name, recorder in self.core.recorders().items():
            yield summary_metric(name, recorder)

    def collect_counters(self) -> Iterator[Metric]:
        """Yield the core's counters under one name."""
        family = CounterMetricFamily(
            "citronspring_events", "Packets, drops and decisions.", labels=["name"]
        )
        for name, count in sorted(self.core.tables.counters.items()):
            family.add_metric([name], count)
        yield family

    def collect_sizes(self) -> Iterator[Metric]:
        """Yield the sizes of the tables, and the revision."""
        tables = self.core.tables
        rows = GaugeMetricFamily(
            "citronspring_rows", "Rows of the tables.", labels=["table"]
        )
        rows.add_metric(["flows"], len(tables.flows.rows))
        rows.add_metric(["openings"], len(tables.openings))
        rows.add_metric(["walks"], len(tables.searches))
        rows.add_metric(["hints"], len(tables.hints))
        yield rows
        yield GaugeMetricFamily(
            "citronspring_revision", "Revision in force.", value=tables.revision
        )

    def collect_hosts(self) -> Iterator[Metric]:
        """Yield the number of hosts in each state."""
        family = GaugeMetricFamily(
            "citronspring_hosts", "Hosts by state, as seen here.", labels=["state"]
        )
        states = Counter(row.state.value for row in self.core.tables.hosts.values())
        for state, count in sorted(states.items()):
            family.add_metric([state], count)
        yield family

    def collect_accounts(self) -> Iterator[Metric]:
        """Yield the open flows of the targets of accounts that have any."""
        family = GaugeMetricFamily(
            "citronspring_target_flows",
            "Open flows this host owns, of accounts that have any.",
            labels=["account", "target"],
        )
        for account_id, row in sorted(self.core.tables.accounts.items()):
            if row.open_flows:
                for target in row.targets:
                    labels = [account_id, target.target.target_id]
                    family.add_metric(labels, target.flows)
        yield family


def summary_metric(name: str, recorder: TimeRecorder) -> Metric:
    """Return a recorder as a summary metric."""
    full_name = f"citronspring_{name}_seconds"
    metric = Metric(full_name, f"{name.replace('_', ' ').capitalize()}.", "summary")
    for quantile, seconds in recorder.quantiles().items():
        metric.add_sample(full_name, {"quantile": str(quantile)}, seconds)
    metric.add_sample(f"{full_name}_count", {}, recorder.count)
    metric.add_sample(f"{full_name}_sum", {}, recorder.total())
    return metric


def metrics_text(core: MeasuredBalancer) -> bytes:
    """Return all metrics of a core in the text format of Prometheus."""
    registry = CollectorRegistry()
    registry.register(HostCollector(core))
    return generate_latest(registry)
