"""The process of a host in token mode: sockets, signals and timers around the core."""

from __future__ import annotations

from citronspring.daemons.clocks import boot_clock
from citronspring.daemons.follower_server import FollowerServer
from citronspring.daemons.http_server import HttpServer
from citronspring.daemons.line_log import LineLog
from citronspring.daemons.poller import EVENT_READ, Poller
from citronspring.daemons.store_calls import StoreCalls
from citronspring.errors import MalformedPacketError, SettingsError
from citronspring.events import (
    PACKET_DROPPED,
    SETTINGS_BAD,
    SETTINGS_READ,
    SIGNAL,
    STARTED,
    STATE_DUMP,
    STOPPED,
)
from citronspring.light_sockets import (
    SIGHUP,
    SIGINT,
    SIGTERM,
    SIGUSR1,
    SO_RCVBUF,
    SOL_SOCKET,
    bind_datagrams,
    set_signal_handler,
    set_wakeup_fd,
    socketpair,
)
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.tcp_flags import SYN
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.change_feed import LINK_SHARE
from citronspring.tokens.messages import Drop, Forward, Log, ResetCaller, Tell
from citronspring.tokens.suspicions import decode_message, encode_message
from citronspring.tokens.times import ReaderTimes

if TYPE_CHECKING:
    from citronspring.daemons.http_server import ServerConnection
    from citronspring.daemons.platform_adapter import PlatformAdapter
    from citronspring.daemons.prefetch import Prefetch
    from citronspring.host_settings import HostSettings
    from citronspring.tokens.messages import Action

#: Datagrams read in a row before other sockets and timers are served.
BATCH = 64

#: Largest datagram read in bytes; larger ones are not valid packets.
MAX_DATAGRAM = 2048

#: Bytes of the IP and UDP headers of a datagram on the link.
DATAGRAM_HEADER = 28

#: Requested kernel receive buffer in bytes; holds what arrives while the process cannot
#: run.
RECEIVE_BUFFER = 1 << 20

#: Longest time in seconds after the start that packets stay queued in the kernel until
#: a configuration arrives, usually some 20 ms. A queued opening is served; a dropped
#: one would be retransmitted only after 200 ms.
MAX_RECEIVE_DELAY = 1.0

#: Seconds before the process is killed at which it stops by itself.
STOP_MARGIN = 0.7

#: Seconds between two checks of the settings file, which may change without a signal.
SETTINGS_INTERVAL = 2.0

#: Longest sleep in seconds. A stall of the process during a sleep is detected only if
#: it exceeds the rest of the sleep, so packets may have waited for this time plus the
#: core's `STALL_THRESHOLD`.
MAX_SLEEP = 0.1


class TokenHost:
    """A host in token mode.

    Parameters
    ----------
    settings : HostSettings
        Validated settings.
    adapter : PlatformAdapter
        Adapter to the platform.
    prefetch : Prefetch, optional
        A call to the store that is already in progress.
    """

    def __init__(
        self,
        settings: HostSettings,
        adapter: PlatformAdapter,
        prefetch: Prefetch | None = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.decode_packet = adapter.decode_packet
        self.encode = adapter.encode_for_target
        self.started_at = boot_clock()
        self.core = TokenBalancer.from_config(
            settings.host_id,
            settings.zone,
            ReaderTimes.from_settings(settings),
            len(settings.peers),
        )
        self.apply_limits(settings)
        # The first iteration lasts until packets are read: packets queued since the
        # start for longer than a stall are too old to be placed.
        self.core.begin_iteration(self.started_at)
        self.log = LineLog(1, settings.host_id, adapter.format_flow)
        self.selector = Poller()
        self.packets = bind_datagrams(self.settings.packets)
        self.packets.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER)
        self.messages = bind_datagrams(self.settings.messages)
        self.selector.register(self.messages, EVENT_READ, self.read_messages)
        self.receiving = False
        #: False while the socket may hold unread packets. Timers wait for it: after a
        #: stall of the process, unread answers would otherwise count as missing.
        self.socket_drained = True
        self.calls = StoreCalls(
            self.core,
            self.selector,
            settings,
            adapter,
            self.perform,
            boot_clock,
            prefetch,
        )
        self.server = HttpServer(
            self.selector, settings.readiness, self.answer, write=self.write
        )
        self.follower_server = FollowerServer(
            self.core, self.selector, settings.peer_endpoint, boot_clock, self.write
        )
        self.stopping = False
        self.settings_version = adapter.settings_version()
        self.settings_check_at = self.started_at + SETTINGS_INTERVAL

    def apply_limits(self, settings: HostSettings) -> None:
        """Apply the lifetime of flows, costs, and the limits of the host's link."""
        self.core.tables.zone_crossing_cost = settings.zone_crossing_cost
        self.core.tables.flow_lifetime = settings.flow_lifetime
        self.core.tables.change_log.rate = LINK_SHARE * settings.link_rate
        self.core.set_link_limit(settings.link_limit, boot_clock())

    def run(self) -> None:
        """Serve until the host may stop."""
        self.install_signal_handlers()
        self.write(STARTED.number, {"zone": self.settings.zone})
        while not self.stopping:
            self.run_once()
        self.write(STOPPED.number, {"flows": len(self.core.tables.flows)})
        self.log.flush()

    def run_once(self) -> None:
        """Run one iteration of the event loop: packets first, then timers."""
        sleep = self.sleep_time(boot_clock())
        ready = self.selector.select(sleep)
        # If the last batch has emptied the socket, nothing else would tell.
        self.socket_drained = True
        if self.receiving and self.core.begin_iteration(boot_clock(), sleep):
            # A wait that is interrupted by the end of a stall reports no events. Queued
            # packets are read here before they could count as fresh.
            self.read_packets(EVENT_READ)
        for key, mask in ready:
            key.data(mask)
        now = boot_clock()
        if self.socket_drained:
            self.perform(self.core.tick(now), now)
        self.calls.run(now)
        self.follower_server.run(now)
        self.server.run(now)
        self.start_receiving(now)
        self.check_settings(now)
        self.stopping = self.core.may_stop(now)
        self.log.flush()

    def sleep_time(self, now: float) -> float:
        """Return the seconds until the next timer is due."""
        until = min(self.core.next_deadline(now), now + MAX_SLEEP)
        return max(0.0, min(until, self.calls.next_deadline()) - now)

    def write(self, number: int, fields: dict[str, object]) -> None:
        """Log an event."""
        self.log.write(number, fields, boot_clock())

    # Packets ---------------------------------------------------------------------

    def start_receiving(self, now: float) -> None:
        """Start reading packets once they can be placed or have waited too long."""
        if self.receiving:
            return
        if self.core.configured or now - self.started_at >= MAX_RECEIVE_DELAY:
            self.receiving = True
            self.selector.register(self.packets, EVENT_READ, self.read_packets)

    def read_packets(self, mask: int) -> None:
        """Read and handle a batch of queued packets."""
        now = boot_clock()
        self.socket_drained = False
        count = 0
        while count < BATCH:
            data = self.next_datagram()
            if self.socket_drained:
                break
            count += 1
            if data is not None:
                self.handle_datagram(data, now)
        if count:
            seconds_each = (boot_clock() - now) / count
            self.core.tables.histograms["decision"].record(seconds_each, count)

    def next_datagram(self) -> bytes | None:
        """Return the next queued datagram, None if there is none."""
        try:
            return self.packets.recv(MAX_DATAGRAM)
        except BlockingIOError:
            self.socket_drained = True
        except OSError:
            # The error belongs to an earlier datagram sent to a closed port.
            self.core.tables.counters["receive-errors"] += 1
        return None

    def handle_datagram(self, data: bytes, now: float) -> None:
        """Decode a datagram and pass it to the core."""
        self.core.tables.link_usage.received += len(data) + DATAGRAM_HEADER
        try:
            packet = self.decode_packet(data)
        except MalformedPacketError as error:
            self.core.tables.counters["dropped malformed"] += 1
            self.write(PACKET_DROPPED.number, {"reason": error.message})
            return
        if packet.flags & SYN:
            # The process may also have stalled within this iteration.
            now = boot_clock()
            self.core.begin_iteration(now)
        self.perform(self.core.receive(packet, now), now)

    def perform(self, actions: list[Action], now: float) -> None:
        """Execute actions of the core."""
        for action in actions:
            # For each packet, a match on classes would cost as much as the decision
            # itself.
            if type(action) is Forward:
                self.forward(action)
                continue
            match action:
                case ResetCaller():
                    self.reset(action)
                case Drop():
                    self.drop(action)
                case Log():
                    self.log.write(action.number, action.fields, now)
                case Tell():
                    self.send_message(action)

    def forward(self, action: Forward) -> None:
        """Send a packet to its target."""
        target = action.target.target
        data = self.encode(action.packet, target.incarnation, action.token)
        self.send(data, target.endpoint)

    def reset(self, action: ResetCaller) -> None:
        """Answer a caller's packet with a reset."""
        self.core.tables.counters[f"reset {action.reason.value}"] += 1
        data = self.adapter.encode_reset(action.packet)
        ip = self.adapter.caller_ip(action.packet)
        self.send(data, (ip, self.settings.packets.port))

    def drop(self, action: Drop) -> None:
        """Count and log a dropped packet."""
        self.core.tables.counters[f"dropped {action.reason.value}"] += 1
        packet = action.packet
        fields: dict[str, object] = {
            "flow": packet.flow,
            "reason": action.reason.value,
            "token": packet.token,
        }
        if action.route:
            fields["route"], fields["service"] = action.route, action.service
        self.write(PACKET_DROPPED.number, fields)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; if the kernel rejects it, it is lost as on any link."""
        self.core.tables.link_usage.sent += len(data) + DATAGRAM_HEADER
        try:
            self.packets.sendto(data, address)
        except OSError:
            self.core.note_failed_send(boot_clock())

    # Other hosts of the zone -----------------------------------------------------

    def read_messages(self, mask: int) -> None:
        """Read and handle messages from other hosts of the zone."""
        counters = self.core.tables.counters
        for _ in range(BATCH):
            try:
                data, address = self.messages.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                # The error belongs to an earlier message to a host that has stopped.
                counters["receive-errors"] += 1
                return
            message = decode_message(data)
            if message is None:
                counters["host-messages-unreadable"] += 1
                continue
            now = boot_clock()
            actions = self.core.handle_host_message(message, address[0], now)
            self.perform(actions, now)

    def send_message(self, action: Tell) -> None:
        """Send a message to another host; a lost one is superseded by the next."""
        address = (action.to, self.settings.messages.port)
        try:
            self.messages.sendto(encode_message(action.message), address)
        except OSError:
            self.core.tables.counters["host-messages-unsent"] += 1

    # Readiness and signals -------------------------------------------------------

    def answer(self, path: str, connection: ServerConnection) -> tuple[int, str]:
        """Return the answer to a request at the readiness address."""
        if path == self.adapter.readiness_path:
            return (200, "ready\n") if self.core.ready else (503, "not ready\n")
        now = boot_clock()
        if path == "/state":
            # Imported on first use: each module imported at start delays serving.
            import json

            return 200, json.dumps(self.core.dump(now), default=str) + "\n"
        if path == "/metrics":
            return 200, self.core.metrics(now)
        return 404, "ask for the readiness path, /metrics or /state\n"

    def install_signal_handlers(self) -> None:
        """Install signal handlers; a socket pair lets signals wake the selector."""
        receiver, sender = socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        self.wakeup_sockets = receiver, sender
        self.selector.register(receiver, EVENT_READ, self.clear_wakeups)
        set_signal_handler(SIGTERM, self.on_stop)
        set_signal_handler(SIGINT, self.on_stop)
        set_signal_handler(SIGHUP, self.on_settings)
        set_signal_handler(SIGUSR1, self.on_dump)

    def clear_wakeups(self, mask: int) -> None:
        """Read the bytes that signals wrote to wake the selector."""
        self.wakeup_sockets[0].recv(64)

    def on_stop(self, number: int, frame: object) -> None:
        """Start a graceful shutdown: report unready, keep forwarding, then stop."""
        now = boot_clock()
        self.write(SIGNAL.number, {"signal": number})
        deadline = now + max(0.0, self.settings.stop_grace - STOP_MARGIN)
        self.perform(self.core.leave(deadline, now), now)

    def on_settings(self, number: int, frame: object) -> None:
        """Reload the settings on SIGHUP."""
        self.write(SIGNAL.number, {"signal": number})
        self.read_settings()

    def check_settings(self, now: float) -> None:
        """Reload the settings if their file has changed."""
        if now < self.settings_check_at:
            return
        self.settings_check_at = now + SETTINGS_INTERVAL
        version = self.adapter.settings_version()
        if version != self.settings_version:
            self.settings_version = version
            self.read_settings()

    def read_settings(self) -> None:
        """Apply the settings; invalid ones change nothing."""
        try:
            settings = self.adapter.read_settings()
        except SettingsError as error:
            self.write(SETTINGS_BAD.number, {"reason": str(error)})
            return
        changed = settings != self.settings
        self.write(SETTINGS_READ.number, {"changed": changed})
        self.settings = settings
        self.calls.apply_settings(settings)
        self.apply_limits(settings)
        self.core.times = ReaderTimes.from_settings(settings)

    def on_dump(self, number: int, frame: object) -> None:
        """Log a dump of the state on SIGUSR1."""
        self.write(STATE_DUMP.number, {"state": self.core.dump(boot_clock())})
