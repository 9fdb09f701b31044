"""Clients and servers, the two ends of flows, as `PROTOCOL.md` describes them."""

import random
import struct

from support_2.wire import (
    ACK,
    FIN,
    INCARNATION,
    MASK,
    RST,
    SYN,
    Packet,
    datagrams,
    decode,
    number,
    udp_socket,
)

OPENING_COPIES = (0.2, 0.6)
OPENING_END = 1.4
FIRST_RETRANSMISSION, LAST_RETRANSMISSION = 0.2, 1.6
MAX_RETRANSMISSIONS = 8
RESET_WINDOW = 76_800
NAMES = {SYN: "SYN", ACK: "ACK", FIN: "FIN", RST: "RST"}


def near(seq, reference, width):
    """Whether two sequence numbers differ by at most a width."""
    return (seq - reference + width) & MASK <= 2 * width


class Record:
    """What the ends have seen, in order; written to ``record.txt``."""

    def __init__(self, loop):
        self.loop = loop
        self.lines = []
        #: Server of each flow that a server has seen open, by flow.
        self.server_of = {}
        self.broken = []
        self.counts = {}

    def add(self, text):
        """Record a line."""
        self.lines.append(f"{self.loop.now():9.4f} {text}")

    def count(self, name):
        """Count an event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def breaks(self, rule, text):
        """Record that a rule was broken."""
        self.broken.append(rule)
        self.add(f"BROKEN {rule}: {text}")


class Server:
    """One server: accepts flows, runs requests and answers the clients directly."""

    def __init__(self, loop, record, store, name, service, zone, ip, **options):
        self.loop, self.record, self.store = loop, record, store
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.sock = udp_socket(ip)
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.incarnation = int(name.rpartition("-")[2], 16)
        self.slots = 2
        self.work = options.get("work", 0.005)
        self.link = options["link"]
        self.client_port = options["client_port"]
        #: Whether a SYN+ACK is repeated without a copy of the SYN.
        self.repeats_opening = options.get("repeats_opening", False)
        self.flows = {}
        self.ended = {}
        self.running = 0
        self.queue = []
        self.seq = 0
        self.state = "ready"
        loop.on_readable(self.sock, self.read)

    def register(self):
        """Write the server's entry."""
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.seq,
        }
        self.store.put(f"servers/{self.name}", entry)

    def read(self):
        """Read datagrams; each is handled when the link has carried it."""
        for data, sender in datagrams(self.sock):
            delay = self.link.from_host(sender[0], self.zone)
            self.loop.after(delay, self.receive, data)

    def receive(self, data):
        """Handle a datagram of a host."""
        (incarnation,) = INCARNATION.unpack_from(data)
        if incarnation not in (0, self.incarnation):
            return
        packet = decode(data[INCARNATION.size :])
        if packet.sum != packet.digest():
            self.record.breaks("UNASKED", f"{self.name} got a packet nobody wrote")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.open(key, flow, packet)
        elif flow is None:
            if key in self.ended and packet.flags & FIN and not packet.data:
                self.send(key, packet.ack, packet.seq + 1, ACK, packet.echo)
            elif key not in self.ended or packet.data:
                self.reset(key, packet, "does not hold")
        else:
            self.handle(key, flow, packet)

    def open(self, key, flow, packet):
        """Answer a SYN."""
        if flow is not None and flow["client_isn"] == packet.seq:
            if not flow["open"]:
                flow["echo"] = packet.echo
                self.send(key, flow["isn"], packet.seq + 1, SYN | ACK, packet.echo)
            return
        isn = random.getrandbits(32)
        flow = {
            "client_isn": packet.seq,
            "isn": isn,
            "next": isn + 1 & MASK,
            "expected": packet.seq + 1 & MASK,
            "echo": packet.echo,
            "open": False,
            "unacked": None,
        }
        self.flows[key] = flow
        self.record.count("openings at servers")
        self.send_opening_answer(key, flow, 0)

    def send_opening_answer(self, key, flow, tries):
        """Send a SYN+ACK, and repeat it up to eight times if this server does that."""
        if self.flows.get(key) is not flow or flow["open"]:
            return
        if tries > MAX_RETRANSMISSIONS:
            del self.flows[key]
            return
        self.send(key, flow["isn"], flow["expected"], SYN | ACK, flow["echo"])
        if self.repeats_opening:
            pause = min(FIRST_RETRANSMISSION * 2**tries, LAST_RETRANSMISSION)
            self.loop.after(pause, self.send_opening_answer, key, flow, tries + 1)

    def handle(self, key, flow, packet):
        """Handle a packet of a flow that this server has answered."""
        if not flow["open"]:
            if packet.ack != flow["next"]:
                # It belongs to a flow that is open elsewhere; this server holds none.
                self.reset(key, packet, "holds only an unacknowledged opening of")
                return
            flow["open"] = True
            self.record.server_of[key] = self
        flow["echo"] = packet.echo
        if flow["unacked"] is not None and packet.ack == flow["next"]:
            flow["unacked"] = None
        if packet.flags & RST:
            self.end(key)
            return
        if packet.data and packet.seq == flow["expected"]:
            flow["expected"] = packet.seq + len(packet.data) & MASK
            self.queue.append((key, flow, packet.data))
            self.start_work()
        if packet.data:
            self.send(key, flow["next"], flow["expected"], ACK, flow["echo"])
        if packet.flags & FIN:
            self.end(key)
            self.send(key, flow["next"], packet.seq + 1, FIN | ACK, flow["echo"])

    def end(self, key):
        """Forget a flow that has ended."""
        self.flows.pop(key, None)
        self.ended[key] = True
        if self.record.server_of.get(key) is self:
            del self.record.server_of[key]

    def start_work(self):
        """Run queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            key, flow, data = self.queue.pop(0)
            self.running += 1
            request_id = data.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            self.record.count("requests run")
            self.loop.after(self.work, self.finish_work, key, flow, request_id)

    def finish_work(self, key, flow, request_id):
        """Answer a request."""
        self.running -= 1
        self.start_work()
        if self.flows.get(key) is not flow:
            return
        body = request_id.encode().ljust(1000, b".")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Seal: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        start = flow["next"]
        flow["next"] = start + len(data) & MASK
        flow["unacked"] = start
        self.send_answer(key, flow, start, data, 0)

    def send_answer(self, key, flow, start, data, tries):
        """Send an answer, again until it is acknowledged."""
        if self.flows.get(key) is not flow or flow["unacked"] != start:
            return
        if tries > MAX_RETRANSMISSIONS:
            self.end(key)
            return
        self.send(key, start, flow["expected"], ACK, flow["echo"], data)
        pause = min(FIRST_RETRANSMISSION * 2**tries, LAST_RETRANSMISSION)
        self.loop.after(pause, self.send_answer, key, flow, start, data, tries + 1)

    def reset(self, key, packet, why):
        """Reset a flow at the client."""
        self.record.count("resets by servers")
        self.record.add(f"{self.name} resets {show(key)}, which it {why}")
        self.send(key, packet.ack, 0, RST, packet.echo)

    def send(self, key, seq, ack, flags, echo, data=b""):
        """Send a packet to the client of a flow."""
        src, sport, dst, dport = key
        packet = Packet(seq, ack, flags, echo, sport, dport, dst, src, data)
        client = ".".join(str(octet) for octet in struct.pack(">I", src))
        self.loop.after(
            self.link.to_client(self.zone),
            self.sock.sendto,
            packet.encode(),
            (client, self.client_port),
        )


def show(key):
    """Return a flow as text."""
    src, sport, dst, dport = key
    ips = [".".join(str(b) for b in struct.pack(">I", one)) for one in (src, dst)]
    return f"{ips[0]}:{sport}>{ips[1]}:{dport}"


def describe(packet):
    """Return flags, length and echo of a packet as text."""
    flags = "+".join(name for bit, name in NAMES.items() if packet.flags & bit)
    return f"{flags} of {len(packet.data)} bytes, echo {packet.echo:08x}"


class ClientAddress:
    """One address of clients, with the flows from its ports."""

    def __init__(self, loop, record, routers, ip, **options):
        self.loop, self.record, self.routers = loop, record, routers
        self.ip, self.src = ip, number(ip)
        self.link = options["link"]
        self.sock = udp_socket(ip, options["client_port"])
        self.next_port = 1024
        self.flows = {}
        loop.on_readable(self.sock, self.read)

    def read(self):
        """Read packets for the clients."""
        for data, sender in datagrams(self.sock):
            packet = decode(data)
            flow = self.flows.get(packet.dport)
            if flow is not None:
                flow.receive(packet, sender)

    def open(self, route, **options):
        """Open a flow from a new port."""
        self.next_port += 1
        flow = Flow(self, self.next_port, route, **options)
        self.flows[self.next_port] = flow
        return flow


class Flow:
    """One flow of a client, with one request at a time."""

    def __init__(self, address, port, route, **options):
        self.address, self.port = address, port
        self.loop, self.record = address.loop, address.record
        self.dst, self.dport = route
        self.key = (address.src, port, number(self.dst), self.dport)
        self.hash_key = repr(self.key).encode()
        self.think = options.get("think", 1.0)
        self.closes_at = self.loop.now() + options.get("lifetime", 10.0)
        self.idle = options.get("idle", False)
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.state = "opening"
        self.unacked = None
        self.received = b""
        self.request_id = ""
        self.requests = 0
        self.last_from = None
        #: What happened to it, for the record of a broken flow.
        self.history = []
        self.send(SYN, self.seq, 0)
        for copies, pause in enumerate(OPENING_COPIES, 1):
            self.loop.after(pause, self.repeat_opening, copies)
        self.loop.after(OPENING_END, self.give_up_opening)

    def send(self, flags, seq, ack, data=b""):
        """Send a packet through the host that the routers choose."""
        src, port, dst, dport = self.key
        packet = Packet(seq, ack, flags, self.echo, dport, port, src, dst, data)
        host = self.address.routers.choose(self.hash_key)
        delay = self.address.link.to_host()
        self.note(f"sends {describe(packet)} through {host.name}")
        self.loop.after(delay, self.address.sock.sendto, packet.encode(), host.packets)

    def note(self, text):
        """Remember what happened to this flow."""
        self.history.append(f"{self.loop.now():9.4f}   {text}")

    def repeat_opening(self, copies):
        """Send a copy of an unanswered SYN."""
        if self.state == "opening":
            self.send(SYN, self.seq, copies)

    def give_up_opening(self):
        """End an attempt without a SYN+ACK."""
        if self.state == "opening":
            self.record.count("openings without an answer")
            self.finish("no answer to the opening")

    def receive(self, packet, sender):
        """Handle a packet for this flow."""
        if self.state == "closed":
            return
        if packet.sum and packet.sum != packet.digest():
            self.record.breaks("MIXED", f"{show(self.key)} got a packet nobody wrote")
            return
        self.note("gets {} from {}:{}".format(describe(packet), *sender))
        if packet.flags & RST:
            self.handle_reset(packet, sender)
            return
        if self.state == "opening":
            if packet.flags & SYN and packet.ack == self.seq + 1 & MASK:
                self.establish(packet, sender)
            return
        # Each end returns the last echo that it received on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            if sender != self.last_from:
                self.record.count("SYN+ACKs of a second server")
            return
        if self.unacked is not None and packet.ack == self.seq:
            self.unacked = None
        if packet.data and packet.seq == self.ack:
            self.ack = self.ack + len(packet.data) & MASK
            self.received += packet.data
            self.send(ACK, self.seq, self.ack)
            self.check_answer()
        elif packet.data:
            self.send(ACK, self.seq, self.ack)
        if packet.flags & FIN:
            self.ack = self.ack + 1 & MASK
            self.send(ACK, self.seq, self.ack)
            self.finish("closed")

    def establish(self, packet, sender):
        """Acknowledge the first SYN+ACK and send the first request."""
        self.state, self.last_from = "open", sender
        self.echo = packet.echo
        self.seq = self.seq + 1 & MASK
        self.ack = packet.seq + 1 & MASK
        self.send(ACK, self.seq, self.ack)
        if not self.idle:
            self.send_request()

    def send_request(self):
        """Send the next request, or close the flow."""
        if self.state != "open":
            return
        if self.loop.now() >= self.closes_at:
            self.state = "closing"
            self.close(0)
            return
        self.requests += 1
        self.request_id = f"{self.address.ip}-{self.port}-{self.requests}"
        self.record.count("requests sent")
        self.received = b""
        data = (
            f"GET /x HTTP/1.1\r\nHost: {self.dst}\r\n"
            f"X-Request-Id: {self.request_id}\r\n\r\n"
        ).encode()
        start = self.seq
        self.seq = start + len(data) & MASK
        self.unacked = start
        self.send_data(start, data, 0)

    def send_data(self, start, data, tries):
        """Send a request, again until it is acknowledged."""
        if self.state != "open" or self.unacked != start or tries > 8:
            return
        self.send(ACK, start, self.ack, data)
        pause = min(FIRST_RETRANSMISSION * 2**tries, LAST_RETRANSMISSION)
        self.loop.after(pause, self.send_data, start, data, tries + 1)

    def check_answer(self):
        """Check a complete answer and plan the next request."""
        head, end, body = self.received.partition(b"\r\n\r\n")
        if not end or len(body) < 1000:
            return
        if body.rstrip(b".").decode() != self.request_id:
            self.record.breaks("MIXED", f"{show(self.key)} got another's answer")
        self.record.count("requests answered")
        self.loop.after(random.expovariate(1 / self.think), self.send_request)

    def close(self, tries):
        """Send a FIN, again until the server's arrives."""
        if self.state != "closing" or tries > 4:
            return
        self.send(FIN | ACK, self.seq, self.ack)
        self.loop.after(0.2 * 2**tries, self.close, tries + 1)

    def handle_reset(self, packet, sender):
        """End the flow, and check who has reset it."""
        if self.state == "opening":
            self.record.count("openings refused")
            self.finish("refused")
            return
        if not near(packet.seq, self.ack, RESET_WINDOW):
            self.record.count("resets outside the window")
            return
        who = "a server" if packet.sum else "the system"
        server = self.record.server_of.get(self.key)
        at = "{}:{}".format(*sender)
        if server is not None and server.address != at:
            self.record.breaks(
                "FLOW",
                f"{show(self.key)} is open at {server.name} ({server.address}), which "
                f"lives; {who} at {at} reset it after {self.requests} requests"
                f"{', one of them unanswered' if self.unacked is not None else ''}",
            )
            self.record.lines += self.history[:12] + ["            ..."]
            self.record.lines += self.history[-12:]
        else:
            self.record.count("resets by the flow's own server")
        self.finish("reset")

    def finish(self, how):
        """End the flow at the client."""
        if self.state != "closed":
            self.state = "closed"
            self.record.count(f"flows: {how}")
            self.address.flows.pop(self.port, None)
