"""Emulated hosts: the real decision core in a process that faults can disturb."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.emulator.answer_sizes import answer_bytes
from citronspring.emulator.calls import ITERATION_INTERVAL, PendingCall
from citronspring.emulator.links import HEADER_BYTES, Link
from citronspring.emulator.network import CALLERS
from citronspring.emulator.targets import Reply
from citronspring.endpoints import Endpoint
from citronspring.rendezvous import seed_of
from citronspring.tcp_flags import RST
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.change_feed import LINK_SHARE, FeedPoll, decode_feed
from citronspring.tokens.election import CALL_TIMEOUT, claim_delay
from citronspring.tokens.entities import Packet
from citronspring.tokens.messages import (
    AnswerTooLarge,
    Drop,
    FollowReader,
    Forward,
    Log,
    ReadPeer,
    ResetCaller,
    Tell,
    Unanswered,
)
from citronspring.tokens.peer_snapshot import decode_snapshot
from citronspring.tokens.times import ReaderTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from citronspring.emulator.callers import EmulatedCaller
    from citronspring.emulator.checker import Checker
    from citronspring.emulator.clock import Clock
    from citronspring.emulator.network import Network
    from citronspring.emulator.store import EmulatedStore
    from citronspring.emulator.targets import EmulatedTarget
    from citronspring.tokens.messages import (
        Action,
        ElectionAnswer,
        StoreAnswer,
    )

#: Seconds from the start of a process until it begins to serve.
START_SECONDS = 0.2

#: Seconds that a process has for a graceful stop.
STOP_GRACE_SECONDS = 5.0

#: Datagrams that the kernel queues for a process that does not read its socket.
SOCKET_QUEUE_PACKETS = 500


@dataclass(slots=True, eq=False)
class EmulatedHost:
    """One host of the load balancer."""

    clock: Clock
    network: Network
    store: EmulatedStore
    checker: Checker
    host_id: str
    zone: str
    times: ReaderTimes
    targets: dict[int, EmulatedTarget]
    core: TokenBalancer | None = None
    #: Number of starts; events that an earlier process scheduled are ignored.
    boot: int = 0
    frozen: bool = False
    queue: list[tuple[Packet, EmulatedCaller]] = field(default_factory=list)
    store_call_pending: bool = False
    #: Time of the last disturbance: a start, kill, freeze, resumption or partition.
    disturbed_at: float = -100.0
    #: Time of the last start.
    started_at: float = -100.0
    seed: int = 0
    #: Hosts that it may ask for a peer snapshot.
    peers: list[EmulatedHost] = field(default_factory=list)
    #: All hosts by id, in place of addresses.
    fleet: dict[str, EmulatedHost] = field(default_factory=dict)
    election_call_pending: bool = False
    #: Its own link in both directions, which callers' packets pass.
    inbound_link: Link = field(default_factory=Link)
    #: Bytes a second at which answers of the store are downloaded. Separate from the
    #: packet links: a TCP connection uses the rest of their capacity and retransmits
    #: what is lost.
    download_rate: float = math.inf
    outbound_link: Link = field(default_factory=Link)
    #: Open polls of followers, each with the function that answers it.
    polls: list[tuple[FeedPoll, Callable[[int, bytes], None]]] = field(
        default_factory=list
    )

    def start(self) -> None:
        """Start the process."""
        self.seed = seed_of(self.host_id)
        self.boot += 1
        self.frozen = self.store_call_pending = self.election_call_pending = False
        self.disturbed_at = self.started_at = self.clock.now
        boot = self.boot
        self.clock.after(START_SECONDS, lambda: self.begin_serving(boot))

    def begin_serving(self, boot: int) -> None:
        """Begin to serve, unless the process was killed while it started."""
        if boot != self.boot:
            return
        self.core = TokenBalancer.from_config(
            self.host_id, self.zone, self.times, len(self.peers)
        )
        if self.download_rate < math.inf:
            self.core.tables.change_log.rate = LINK_SHARE * self.download_rate
        self.core.set_link_limit(self.inbound_link.rate, self.clock.now)
        self.core.begin_iteration(self.clock.now)
        self.iterate(boot)

    def kill(self) -> None:
        """End the process at once; its state is lost."""
        self.core = None
        self.boot += 1
        self.queue.clear()
        self.polls.clear()
        self.disturbed_at = self.clock.now

    def freeze(self) -> None:
        """Stall the process; packets queue in the kernel."""
        self.frozen = True
        self.disturbed_at = self.clock.now

    def resume(self) -> None:
        """Resume the process: queued packets are read before timers run."""
        self.frozen = False
        self.disturbed_at = self.clock.now
        if self.core is not None:
            self.core.begin_iteration(self.clock.now)
            self.read_queue()

    def stop(self) -> None:
        """Ask the process to stop gracefully."""
        if self.core is not None and not self.frozen:
            now = self.clock.now
            self.perform(self.core.leave(now + STOP_GRACE_SECONDS, now))

    def passes_readiness_probe(self) -> bool:
        """Return whether a router's readiness probe succeeds."""
        return self.core is not None and not self.frozen and self.core.ready

    def receive_packet(self, packet: Packet, caller: EmulatedCaller) -> None:
        """Receive a caller's packet through the inbound link."""
        self.inbound_link.transmit(
            self.clock, packet.length, lambda: self.enqueue(packet, caller)
        )

    def enqueue(self, packet: Packet, caller: EmulatedCaller) -> None:
        """Queue a caller's packet in the kernel, and read it unless frozen."""
        if self.core is None or len(self.queue) >= SOCKET_QUEUE_PACKETS:
            return
        self.queue.append((packet, caller))
        if not self.frozen:
            self.read_queue()

    def read_queue(self) -> None:
        """Process the queued packets in order."""
        if self.core is None or not self.core.configured:
            return
        # As the real process does at each opening: openings that were queued before the
        # host had a configuration count as too old to be placed.
        self.core.begin_iteration(self.clock.now)
        waiting, self.queue = self.queue, []
        for packet, caller in waiting:
            self.core.tables.link_usage.received += packet.length + HEADER_BYTES
            self.callers[packet.flow] = caller
            self.perform(self.core.receive(packet, self.clock.now))

    @property
    def callers(self) -> dict[bytes, EmulatedCaller]:
        """Return the callers by flow, in place of addresses."""
        return self.checker.callers

    def iterate(self, boot: int) -> None:
        """Run one event-loop iteration and schedule the next."""
        if boot != self.boot or self.core is None:
            return
        now = self.clock.now
        if not self.frozen:
            if self.core.configured:
                self.core.begin_iteration(now)
            self.read_queue()
            self.perform(self.core.tick(now))
            self.call_store(boot)
            self.elect(boot)
            self.answer_polls()
            self.checker.check_host(self, now)
            if self.core.may_stop(now):
                self.kill()
                self.start()
                return
        self.clock.after(ITERATION_INTERVAL, lambda: self.iterate(boot))

    def call_store(self, boot: int) -> None:
        """Make the next call to the store, a peer or the reader if none is pending."""
        assert self.core is not None
        if self.store_call_pending:
            return
        now = self.clock.now
        call = self.core.next_call(now)
        if call is None:
            return
        self.store_call_pending = True
        core = self.core

        def handle_answer(answer: StoreAnswer) -> list[Action]:
            self.store_call_pending = False
            return core.handle_store_answer(call, answer, now, self.clock.now)

        pending = PendingCall(self, boot, handle_answer)
        match call:
            case ReadPeer():
                self.read_peer(self.peers[call.turn % len(self.peers)], pending)
            case FollowReader():
                self.poll_reader(self.fleet[call.endpoint.ip], call, pending)
            case _:
                largest = self.core.largest_answer(call)
                self.store.call(
                    self.host_id,
                    call,
                    lambda found: self.download(found, largest, pending),
                )
        deadline = self.core.answer_deadline(call, now)
        self.clock.at(deadline, pending.expire)

    def download(
        self, found: StoreAnswer, largest: float, pending: PendingCall
    ) -> None:
        """Download an answer of the store, or abort if it is too large."""
        size = answer_bytes(found)
        if size > largest:
            pending.answer(AnswerTooLarge())
            return
        seconds = size / self.download_rate
        pending.receiving = True
        if seconds:
            self.clock.after(seconds, lambda: pending.answer(found))
        else:
            pending.answer(found)

    def elect(self, boot: int) -> None:
        """Make the next call of the zone reader election unless one is pending."""
        assert self.core is not None
        if self.election_call_pending:
            return
        now = self.clock.now
        own = Endpoint(self.host_id, 0)
        delay = claim_delay(self.host_id, 1.0)
        call = self.core.next_election_call(own, delay, now)
        if call is None:
            return
        self.election_call_pending = True
        core = self.core

        def handle_answer(answer: ElectionAnswer) -> list[Action]:
            self.election_call_pending = False
            return core.handle_election_answer(call, answer, now, self.clock.now)

        pending = PendingCall(self, boot, handle_answer)
        self.store.elect(self.host_id, call, pending.answer)
        timeout = Unanswered("no answer in time")
        self.clock.after(CALL_TIMEOUT, lambda: pending.answer(timeout))

    def poll_reader(
        self, reader: EmulatedHost, call: FollowReader, pending: PendingCall
    ) -> None:
        """Poll the zone reader's change feed."""

        def reply(status: int, body: bytes) -> None:
            found = decode_feed(status, body)
            self.network.send_reliably(
                reader.zone, self.zone, lambda: pending.answer(found)
            )

        def arrive() -> None:
            if reader.core is None:
                pending.answer(Unanswered("the connection was refused"))
                return
            now = self.clock.now
            poll = FeedPoll(call.after_revision, now, now + call.wait, self.host_id)
            reader.polls.append((poll, reply))

        self.network.send_reliably(self.zone, reader.zone, arrive)

    def answer_polls(self) -> None:
        """Answer the open polls for which the core has an answer."""
        assert self.core is not None
        waiting, self.polls = self.polls, []
        for poll, reply in waiting:
            found = self.core.answer_poll(poll, self.clock.now)
            if found is None:
                self.polls.append((poll, reply))
            else:
                reply(*found)

    def read_peer(self, peer: EmulatedHost, pending: PendingCall) -> None:
        """Ask another host for a peer snapshot over the links between the zones."""

        def answer() -> None:
            if peer.core is None or peer.frozen:
                return
            status, body = peer.core.snapshot(self.clock.now)
            found = decode_snapshot(status, body)
            self.network.send(peer.zone, self.zone, lambda: pending.answer(found))

        self.network.send(self.zone, peer.zone, answer)

    def perform(self, actions: list[Action]) -> None:
        """Perform the actions that the core returned."""
        for action in actions:
            match action:
                case Forward():
                    self.forward(action)
                case ResetCaller():
                    self.reset(action)
                case Drop():
                    self.checker.dropped(self, action)
                case Log():
                    self.checker.logged(self, action)
                case Tell():
                    self.send_message(action)

    def send_message(self, action: Tell) -> None:
        """Send a message to another host."""
        other = self.fleet[action.to]

        def arrive() -> None:
            if other.core is None or other.frozen:
                return
            now = self.clock.now
            other.perform(
                other.core.handle_host_message(action.message, self.host_id, now)
            )

        self.network.send(self.zone, other.zone, arrive)

    def forward(self, action: Forward) -> None:
        """Send a packet to a target with the expected incarnation and token."""
        incarnation = action.target.target.incarnation
        packet = with_token(action.packet, action.token)
        target = self.targets.get(incarnation)
        self.checker.forwarded(self, target, packet)
        caller = self.callers[packet.flow]
        if target is None:
            return

        def transmit() -> None:
            self.network.send(
                self.zone,
                target.zone,
                lambda: target.receive(packet, incarnation, caller),
            )

        self.count_sent(packet.length)
        self.outbound_link.transmit(self.clock, packet.length, transmit)

    def reset(self, action: ResetCaller) -> None:
        """Send a reset to the caller."""
        packet = action.packet
        caller = self.callers[packet.flow]
        reply = Reply(packet.flow, RST, packet.ack, 0, 0)
        self.checker.host_reset(self, caller, packet, action.reason)

        def transmit() -> None:
            self.network.send(self.zone, CALLERS, lambda: caller.receive(reply))

        self.count_sent(0)
        self.outbound_link.transmit(self.clock, 0, transmit)

    def count_sent(self, length: int) -> None:
        """Count a sent packet against the link."""
        if self.core is not None:
            self.core.tables.link_usage.sent += length + HEADER_BYTES


def with_token(packet: Packet, token: int) -> Packet:
    """Return a packet with another token."""
    return Packet(
        packet.flow,
        packet.route,
        packet.flags,
        token,
        packet.seq,
        packet.ack,
        packet.length,
    )
