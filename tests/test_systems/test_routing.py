"""Routing: single relays, foreign sources, unknown services, hints, IPv6 keys."""

from __future__ import annotations

from dataclasses import replace

import pytest

from citronspring.balancer import Balancer
from citronspring.entities import HostState, Protocol, ServiceAddress, Snapshot
from citronspring.messages import (
    DropReason,
    Relay,
    RelayKind,
    RelayReceived,
    SnapshotRead,
)
from citronspring.rendezvous import flow_key
from citronspring.systems import hints
from citronspring.tables import HostRow
from citronspring.tcp_flags import ACK, FIN, RST, SYN
from tests.conftest import make_host
from tests.test_systems import driver


def hinted_core(snapshot, now=0.0):
    """Return a core that holds a hint, and the hinted flow of another owner."""
    core = driver.make_core(snapshot, hosts=3)
    flow = driver.owned_flow(core, owner=False)
    hint(core, flow, now)
    return core, flow


def hint(core, flow, now, target_id="bundelpers-2"):
    owner = core.tables.owners.owner_and_backup(flow)[0]
    event = RelayReceived(RelayKind.HINT, owner, flow, target_id=target_id)
    core.receive(event, now)


def test_packet_is_relayed_to_its_owner_once(snapshot):
    """A connection works although hosts disagree about the owner of its flow.

    One host relays a packet to the owner in its view. That host, whose view is newer,
    sends it on to the next one as a query, and a query is not relayed further: no two
    views can send a packet around in circles.
    """
    core = driver.make_core(snapshot, hosts=3)
    flow = driver.owned_flow(core, owner=False)
    [first] = core.receive(driver.from_caller(flow), 0.0)
    assert first.kind is RelayKind.TO_OWNER
    assert first.host_id == core.tables.owners.owner_and_backup(flow)[0]
    for event in (driver.from_caller(flow), driver.syn(flow)):
        [second] = core.receive(driver.relayed(event), 0.0)
        assert (second.kind, second.host_id) == (RelayKind.QUERY, first.host_id)
        event = driver.relayed(event, kind=RelayKind.QUERY)
        [third] = core.receive(event, 0.0)
        assert (third.kind, third.packet) == (RelayKind.UNKNOWN, None)
    assert not core.tables.flows.rows


@pytest.mark.parametrize("source", ["inzendloket-0", "nobody"])
@pytest.mark.parametrize("relay", [False, True])
def test_answer_of_a_foreign_source_is_dropped(snapshot, source, relay):
    """A caller never receives data of another client account.

    A target of another client account answers for a flow of this one, directly or
    through another host. Only targets of the account that has the service address may
    answer for it.
    """
    core = driver.make_core(snapshot)
    known, unknown = driver.flow_to(), driver.flow_to(port=50_000)
    driver.open_flow(core, known)
    for flow in (known, unknown):
        event = driver.from_target(flow, source, data=b"x")
        if relay:
            event = driver.relayed(event)
        [drop] = core.receive(event, 1.0)
        assert drop.reason is DropReason.FOREIGN_SOURCE
    assert unknown not in core.tables.flows.rows


@pytest.mark.parametrize(
    ("flags", "protocol", "kind"),
    [(SYN, 6, "Refuse"), (ACK, 6, "Drop"), (RST, 6, "Drop"), (0, 17, "Drop")],
)
def test_unknown_service_address(snapshot, flags, protocol, kind):
    core = driver.make_core(snapshot)
    flow = driver.flow_to("192.0.2.99", protocol=protocol)
    actions = core.receive(driver.from_caller(flow, flags), 0.0)
    assert driver.kinds(actions) == [kind]
    assert not core.tables.flows.rows


def test_hint_is_offered_for_an_established_flow(snapshot):
    core = driver.make_core(snapshot, hosts=2)
    flow = driver.owned_flow(core)
    target_id = driver.open_flow(core, flow)
    event = driver.relayed(driver.from_caller(flow))
    offered = [core.receive(event, 1.0) for _ in range(hints.HINT_EVERY)]
    assert [len(actions) for actions in offered[:-1]] == [1] * (hints.HINT_EVERY - 1)
    [_, relay] = offered[-1]
    assert relay == Relay(RelayKind.HINT, "host-1", flow, target_id=target_id)


@pytest.mark.parametrize(
    ("flags", "from_caller", "kind"),
    [
        (ACK, True, "SendToTarget"),
        (ACK, False, "SendToCaller"),
        (SYN, True, "Relay"),
        (SYN | ACK, False, "Relay"),
        (FIN | ACK, True, "Relay"),
        (FIN | ACK, False, "Relay"),
        (RST, True, "Relay"),
        (RST, False, "Relay"),
    ],
)
def test_hint_applies_only_to_packets_that_change_no_state(
    snapshot, flags, from_caller, kind
):
    """A closed flow does not stay open, and a new one is placed by its owner.

    A packet that opens or ends a flow goes through the owner, with or without a hint,
    and so do the packets that follow it at this host.
    """
    core, flow = hinted_core(snapshot)
    event = driver.from_caller(flow, flags)
    if not from_caller:
        event = driver.from_target(flow, "bundelpers-2", flags)
    assert driver.kinds(core.receive(event, 1.0)) == [kind]
    assert (flow in core.tables.hints) == (flags == ACK)


def test_hint_ends(snapshot):
    """A flow is not forwarded by a hint from an earlier membership view.

    A hint is valid for seconds, only under the version of the owner table it was given
    under (even if the same owners return, as another host may have rebound the flow in
    between), only for its target, and only from the flow's owner.
    """
    core, flow = hinted_core(snapshot)
    kinds = driver.kinds(core.receive(driver.from_caller(flow), hints.HINT_LIFETIME))
    assert kinds == ["Relay"]

    core, flow = hinted_core(snapshot)
    row = core.tables.hosts["host-2"]
    for state in (HostState.DEAD, HostState.ALIVE):
        row.state = state
        driver.expire(core, 0.1)
    assert driver.kinds(core.receive(driver.from_caller(flow), 0.2)) == ["Relay"]

    core, flow = hinted_core(snapshot)
    answer = driver.from_target(flow, "bundelpers-3", data=b"x")
    assert driver.kinds(core.receive(answer, 0.1)) == ["Relay"]

    core = driver.make_core(snapshot, hosts=3)
    flow = driver.owned_flow(core, owner=False)
    core.receive(RelayReceived(RelayKind.HINT, "host-0", flow, target_id="x"), 0.0)
    other = next(
        name
        for name in core.tables.hosts
        if name != core.tables.owners.owner_and_backup(flow)[0]
    )
    event = RelayReceived(RelayKind.HINT, other, flow, target_id="bundelpers-2")
    core.receive(event, 0.0)
    assert not core.tables.hints


def test_hints_are_bounded_and_expire_behind_a_renewed_one(snapshot, monkeypatch):
    """Long flows keep their hints while one of them never ends.

    Hints are dropped oldest first. One that was renewed repeatedly stayed at the head
    for ever, and those behind it filled the table.
    """
    monkeypatch.setattr(hints, "MAX_HINTS", 3)
    core, first = hinted_core(snapshot)
    flows = [
        driver.owned_flow(core, owner=False, start=41_000 + 500 * n) for n in range(3)
    ]
    for flow in flows:
        hint(core, flow, 0.0)
    assert len(core.tables.hints) == 3
    hint(core, first, 4.0)
    driver.expire(core, hints.HINT_LIFETIME)
    assert list(core.tables.hints) == [first]


def test_flow_over_ipv6_is_kept(snapshot):
    """A core takes IPv6 keys as they are; only the packet I/O needs to read them."""
    address = ServiceAddress("2001:db8::1", 443, Protocol.TCP)
    account = replace(snapshot.accounts[0], addresses=(address,))
    core = driver.make_core(Snapshot(1, (account,)))
    flow = flow_key(6, "2001:db8::1", 443, "2001:db8:ffff::7", 40_000)
    target_id = driver.open_flow(core, flow)
    actions = core.receive(driver.from_caller(flow, data=b"x"), 1.0)
    assert driver.sent_to(actions) == [target_id]
    [send] = core.receive(driver.from_target(flow, target_id, data=b"y"), 1.0)
    assert send.packet.flow == flow


def test_service_that_may_only_be_unknown_here_is_not_refused(snapshot):
    """A caller of a service that was just accepted is not refused as unknown.

    A host that has just started has no configuration, and one that missed a record has
    an older one than its peer. Neither responds; the caller's next SYN reaches a host
    that knows the service. Only a host that is current refuses.
    """
    flow = driver.owned_flow(driver.make_core(snapshot, hosts=2), start=40_000)
    unknown = flow_key(6, "192.0.2.99", 443, "198.51.100.7", 40_000)
    new = Balancer.from_config(make_host(0))
    assert driver.kinds(new.receive(driver.syn(flow), 0.0)) == ["Drop"]
    behind = driver.make_core(snapshot)
    assert driver.kinds(behind.receive(driver.syn(unknown), 0.0)) == ["Refuse"]
    behind.tables.hosts["host-1"] = HostRow(make_host(1), HostState.DEAD, revision=2)
    assert driver.kinds(behind.receive(driver.syn(unknown), 0.0)) == ["Drop"]


def moved(snapshot, revision=2):
    """Return the configuration in which the account's address belongs to another."""
    first, second = snapshot.accounts
    addresses = second.addresses
    return Snapshot(
        revision,
        (
            replace(first, addresses=addresses),
            replace(second, addresses=first.addresses),
        ),
    )


@pytest.mark.parametrize(
    "kind", [RelayKind.TO_OWNER, RelayKind.PROPOSE, RelayKind.BIND, RelayKind.HINT]
)
def test_messages_of_a_host_with_an_older_configuration_are_ignored(snapshot, kind):
    """A packet never reaches another client account, whatever a peer's configuration.

    A service address moved from one client account to another. A host that does not
    know this yet relays an answer of, proposes, binds or hints at a target of the
    account that had the address. This host has the newer configuration and ignores all
    of it.
    """
    core = driver.make_core(snapshot, hosts=3)
    owner = kind is not RelayKind.HINT
    flow = driver.owned_flow(core, owner=owner)
    sender = "host-1" if owner else core.tables.owners.owner_and_backup(flow)[0]
    event = driver.from_caller(flow, data=b"x")
    if kind is RelayKind.TO_OWNER:
        event = driver.from_target(flow, "inzendloket-0", data=b"x")
        actions = core.receive(driver.relayed(event), 0.0)
    elif kind is RelayKind.PROPOSE:
        actions = core.receive(
            driver.relayed(event, kind=kind, target_id="inzendloket-0"), 0.0
        )
    else:
        core.receive(event, 0.0)
        relay = RelayReceived(kind, sender, flow, target_id="inzendloket-0")
        actions = core.receive(relay, 0.0)
    assert "inzendloket-0" not in driver.sent_to(actions)
    assert "SendToCaller" not in driver.kinds(actions)
    assert flow not in core.tables.flows.rows
    assert flow not in core.tables.hints


@pytest.mark.parametrize("protocol", [6, 17])
def test_new_flow_to_a_moved_address_goes_to_its_new_account(snapshot, protocol):
    """A caller that returns after an address has moved reaches the new account.

    The tuple is still bound to a target of the account that had the address. That
    binding must not determine the target of a new flow, and a datagram flow has no
    other beginning than its next packet.
    """
    core = driver.make_core(snapshot)
    flow = driver.flow_to(protocol=protocol)
    opening = driver.syn(flow) if protocol == 6 else driver.from_caller(flow, 0)
    [old] = driver.sent_to(core.receive(opening, 0.0))
    core.receive(SnapshotRead(moved(snapshot)), 1.0)
    [placed] = driver.sent_to(core.receive(opening, 30.0))
    assert (old.split("-")[0], placed.split("-")[0]) == ("bundelpers", "inzendloket")


def test_open_flow_survives_the_removal_of_its_address(snapshot):
    """An upload in progress survives the removal of its service address.

    The operator removes the address from the account, which ends new flows only. The
    owner keeps the flow, a host that must search finds it, and it ends only when
    another account gets the address.
    """
    account = snapshot.accounts[0]
    removed = Snapshot(2, (replace(account, addresses=()), *snapshot.accounts[1:]))
    core = driver.make_core(snapshot)
    flow = driver.flow_to()
    target_id = driver.open_flow(core, flow)
    other = driver.make_core(snapshot)
    for host in (core, other):
        host.receive(SnapshotRead(removed), 1.0)
        kinds = driver.kinds(host.receive(driver.syn(driver.flow_to(port=50_000)), 2.0))
        assert kinds == ["Refuse"]
    data = driver.from_caller(flow, data=b"x")
    answer = driver.from_target(flow, target_id, data=b"y")
    assert driver.sent_to(core.receive(data, 2.0)) == [target_id]
    assert driver.kinds(core.receive(answer, 2.0)) == ["SendToCaller"]
    assert driver.sent_to(other.receive(data, 2.0))
    assert driver.kinds(other.receive(answer, 2.0))[0] == "SendToCaller"
    core.receive(SnapshotRead(moved(snapshot, 3)), 3.0)
    assert target_id not in driver.sent_to(core.receive(data, 4.0))
    [drop] = core.receive(answer, 4.0)
    assert drop.reason is DropReason.FOREIGN_SOURCE
