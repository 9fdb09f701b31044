"""Expiry: rows, wheel and counts return to zero after any history of events."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from citronspring.entities import HostState, Snapshot
from citronspring.messages import (
    Packet,
    PacketReceived,
    RelayKind,
    RelayReceived,
    SnapshotRead,
)
from citronspring.systems.binding import COUNTED_STATES
from citronspring.systems.expiry import expire_flows
from citronspring.tables import RECHECK_INTERVAL, WHEEL_BUCKET_WIDTH, FlowState
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from tests.conftest import make_account
from tests.test_systems import driver

#: Time after which no flow may have left anything: the longest idle time-out, and more.
FOREVER = 3600.0 + 2 * RECHECK_INTERVAL

PORTS = (40_000, 40_001, 40_002, 40_003)
TARGETS = ("bundelpers-0", "bundelpers-1", "bundelpers-2")


def check_counts(core):
    """Compare the counts of open flows with a recount of the rows."""
    tables = core.tables
    counted = [row for row in tables.flows.rows.values() if row.state in COUNTED_STATES]
    by_target = Counter(row.target.target.target_id for row in counted)
    for target_id, row in tables.targets.items():
        assert row.flows == by_target[target_id]
    for account in tables.accounts.values():
        total = sum(row.target.account is account for row in counted)
        assert account.open_flows == total


def check_wheel(core, now):
    """Check that every row is in a bucket that is still due, and soon."""
    flows = core.tables.flows
    for key, row in flows.rows.items():
        places = [due for due, bucket in flows.wheel.items() if bucket is row.bucket]
        assert len(places) == 1
        assert key in row.bucket
        assert places[0] <= (now + RECHECK_INTERVAL) // WHEEL_BUCKET_WIDTH + 1


class FlowHistories(RuleBasedStateMachine):
    """Any packets and relays, in any order, with changes of hosts and targets."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revision = 1
        self.account = make_account(targets=len(TARGETS))
        self.core = driver.make_core(Snapshot(1, (self.account,)), hosts=3)

    @rule(
        port=st.sampled_from(PORTS),
        protocol=st.sampled_from([6, 17]),
        flags=st.sampled_from([SYN, ACK, ACK, FIN | ACK, RST]),
        seq=st.sampled_from([1000, 1001, 1 << 30]),
        ack=st.sampled_from([0, 5001, 1 << 31]),
        length=st.sampled_from([0, 5]),
        relayed=st.booleans(),
    )
    def caller_sends(self, port, protocol, flags, seq, ack, length, relayed):
        flow = driver.flow_to(port=port, protocol=protocol)
        flags = flags if protocol == 6 else 0
        event = PacketReceived(Packet(flow, True, flags, seq, ack, length, b""))
        self.core.receive(driver.relayed(event) if relayed else event, self.now)

    @rule(
        port=st.sampled_from(PORTS),
        protocol=st.sampled_from([6, 17]),
        target_id=st.sampled_from(TARGETS),
        flags=st.sampled_from([SYN | ACK, ACK, FIN | ACK, RST, RST | ACK]),
        seq=st.sampled_from([5000, 5001, 1 << 31]),
        length=st.sampled_from([0, 5]),
        unreachable=st.booleans(),
    )
    def target_sends(self, port, protocol, target_id, flags, seq, length, unreachable):
        flow = driver.flow_to(port=port, protocol=protocol)
        flags = flags if protocol == 6 else 0
        packet = Packet(flow, False, flags, seq, 1001, length, b"", unreachable)
        self.core.receive(driver.relayed(PacketReceived(packet, target_id)), self.now)

    @rule(
        kind=st.sampled_from(
            [RelayKind.PROPOSE, RelayKind.QUERY, RelayKind.UNKNOWN, RelayKind.BIND]
        ),
        port=st.sampled_from(PORTS),
        protocol=st.sampled_from([6, 17]),
        target_id=st.sampled_from([*TARGETS, None]),
        flags=st.sampled_from([SYN, ACK]),
    )
    def host_relays(self, kind, port, protocol, target_id, flags):
        flow = driver.flow_to(port=port, protocol=protocol)
        flags = flags if protocol == 6 else 0
        packet = None
        if kind in (RelayKind.PROPOSE, RelayKind.QUERY):
            packet = Packet(flow, True, flags, 1000, 5001, 0, b"")
        event = RelayReceived(kind, "host-1", flow, packet, None, target_id)
        self.core.receive(event, self.now)

    @rule(
        host_id=st.sampled_from(["host-0", "host-1", "host-2"]),
        state=st.sampled_from([HostState.ALIVE, HostState.LEAVING, HostState.DEAD]),
    )
    def host_changes(self, host_id, state):
        self.core.tables.hosts[host_id].state = state

    @rule(target_id=st.sampled_from(TARGETS), mode=st.sampled_from(["leave", "remove"]))
    def targets_change(self, target_id, mode):
        self.revision += 1
        targets = []
        for target in self.account.targets:
            if target.target_id != target_id:
                targets.append(target)
            elif mode == "leave":
                targets.append(replace(target, leaving_revision=self.revision))
        account = replace(self.account, targets=tuple(targets))
        self.core.receive(SnapshotRead(Snapshot(self.revision, (account,))), self.now)

    @rule(seconds=st.sampled_from([0.05, 0.8, 5.0, 31.0, 61.0, 400.0]))
    def time_passes(self, seconds):
        self.now += seconds
        driver.expire(self.core, self.now)

    @invariant()
    def counts_equal_rows(self):
        check_counts(self.core)

    @invariant()
    def wheel_holds_every_row(self):
        check_wheel(self.core, self.now)

    @invariant()
    def openings_have_rows(self):
        rows = self.core.tables.flows.rows
        for flow in self.core.tables.openings:
            assert rows[flow].state in (FlowState.OPENING, FlowState.ANSWERED)

    def teardown(self):
        self.now += FOREVER
        for _ in range(3):
            driver.expire(self.core, self.now)
            self.now += RECHECK_INTERVAL
        tables = self.core.tables
        assert tables.flows.rows == {}
        assert tables.flows.wheel == {}
        assert (tables.openings, tables.searches, tables.hints) == ({}, {}, {})
        check_counts(self.core)


FlowHistories.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=40
)
TestFlowHistories = FlowHistories.TestCase


def test_flow_lives_while_it_is_used(snapshot):
    """A connection with one packet every half hour stays open all night."""
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    driver.open_flow(core, flow)
    now = 0.0
    for _ in range(16):
        for _ in range(180):
            now += 10.0
            expire_flows(core.tables, now)
        assert driver.kinds(core.receive(driver.from_caller(flow), now)) == [
            "SendToTarget"
        ]
    for _ in range(370):
        now += 10.0
        expire_flows(core.tables, now)
    assert not core.tables.flows.rows


def test_closed_flows_leave_no_keys_behind(snapshot):
    """Memory stays bounded on a host that serves thousands of short flows a second.

    Keys of closed flows used to stay in the bucket of their deadline, an hour away. The
    keys of one hour took hundreds of megabytes.
    """
    core = driver.make_core(snapshot)
    now = 0.0
    for number in range(2000):
        now += 0.1
        flow = driver.flow_to(port=1024 + number)
        target_id = driver.open_flow(core, flow, now)
        core.receive(driver.fin(flow), now)
        core.receive(driver.fin(flow, target_id), now)
        expire_flows(core.tables, now)
    keys = sum(map(len, core.tables.flows.wheel.values()))
    assert keys <= 2 * 10 * (RECHECK_INTERVAL + 2 * WHEEL_BUCKET_WIDTH)
