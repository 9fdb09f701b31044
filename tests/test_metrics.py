"""Timings of the core, and their text for Prometheus."""

from __future__ import annotations

import itertools

from prometheus_client.parser import text_string_to_metric_families

from citronspring.entities import Snapshot
from citronspring.messages import SnapshotRead
from citronspring.metrics import (
    DECISION_SAMPLE,
    MAX_MICROSECONDS,
    MeasuredBalancer,
    TimeRecorder,
    metrics_text,
)
from tests.conftest import make_host
from tests.test_systems.driver import flow_to, from_caller, from_target, syn, syn_ack


def make_measured(snapshot):
    core = MeasuredBalancer.from_config(make_host(0), [make_host(1)])
    core.tables.hosts.pop("host-1")
    core.tick(0.9)
    core.receive(SnapshotRead(snapshot), 0.9)
    return core


def samples_of(core):
    families = text_string_to_metric_families(metrics_text(core).decode())
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in families
        for sample in family.samples
    }


def test_recorder_keeps_its_size():
    recorder = TimeRecorder()
    size = recorder.histogram.counts_len
    for seconds in (0.0, 1e-9, 0.25, 1e12):
        recorder.record(seconds)
    assert recorder.histogram.counts_len == size
    assert recorder.count == 4
    assert recorder.quantiles()[0.999] >= MAX_MICROSECONDS / 1e6 * 0.99


def test_opening_time_runs_from_the_syn_to_the_confirmed_answer(snapshot):
    core = make_measured(snapshot)
    flow = flow_to()
    core.receive(syn(flow), 1.0)
    target = core.tables.flows.rows[flow].target.target.target_id
    core.receive(syn_ack(flow, target), 1.25)
    core.tick(1.25)
    assert core.opening_time.count == 0
    core.receive(from_caller(flow), 1.5)
    core.tick(1.5)
    core.receive(from_target(flow, target), 1.9)
    assert core.opening_time.count == 1
    assert abs(core.opening_time.quantiles()[0.5] - 0.5) < 0.01


def test_decisions_are_timed_by_sampling(snapshot):
    core = make_measured(snapshot)
    ticks = itertools.count()
    core.timer = lambda: next(ticks) * 0.001
    for port in range(DECISION_SAMPLE * 3):
        core.receive(syn(flow_to(port=40_000 + port)), 1.0)
    assert core.decision_time.count == 3
    assert abs(core.decision_time.quantiles()[0.99] - 0.001) < 0.0001


def test_revision_lag_starts_when_a_host_first_reports_it(snapshot):
    core = MeasuredBalancer.from_config(make_host(0), [make_host(1)])
    core.receive(SnapshotRead(snapshot), 0.0)
    other = core.tables.hosts["host-1"]
    for now, revision in ((1.0, 1), (2.0, 2), (3.0, 3)):
        other.revision = revision
        core.tick(now)
    core.receive(SnapshotRead(Snapshot(3, snapshot.accounts)), 4.0)
    core.tick(4.0)
    core.tick(5.0)
    assert core.revision_lag.recorder.count == 1
    assert abs(core.revision_lag.recorder.quantiles()[0.5] - 2.0) < 0.05


def test_metrics_text_is_read_back(snapshot):
    core = make_measured(snapshot)
    flow = flow_to()
    core.receive(syn(flow), 1.0)
    target = core.tables.flows.rows[flow].target.target.target_id
    core.receive(syn_ack(flow, target), 1.25)
    core.tick(1.25)
    core.receive(from_caller(flow), 1.5)
    samples = samples_of(core)
    assert samples["citronspring_events_total", "opened"] == 1
    assert samples["citronspring_rows", "flows"] == 1
    assert samples["citronspring_revision",] == 1
    assert samples["citronspring_hosts", "alive"] == 1
    assert samples["citronspring_target_flows", "bundelpers", target] == 1
    assert samples["citronspring_opening_time_seconds_count",] == 1
    assert 0.45 < samples["citronspring_opening_time_seconds", "0.5"] < 0.55
