"""The control socket: signed datagrams, sent within a byte budget."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from citronspring.control.budget import (
    IP_UDP_HEADERS,
    ControlBudget,
    Priority,
    priority_of,
)
from citronspring.control.envelope import (
    MIN_KEY_BYTES,
    DatagramDecoder,
    DatagramEncoder,
)
from citronspring.daemons.sockets import bind_udp, send
from citronspring.errors import ControlMessageError, SettingsError
from citronspring.events import CONTROL_WITHOUT_KEY
from citronspring.logs import log
from citronspring.messages import ControlReceived, SendControl

if TYPE_CHECKING:
    from collections.abc import Callable

    from pydantic import SecretStr

    from citronspring.balancer import Balancer
    from citronspring.daemons.sockets import Source
    from citronspring.messages import Action
    from citronspring.settings import ControlSection, Settings

#: Default key for hosts that all run on loopback, where settings need not give one.
LOOPBACK_KEY = bytes(MIN_KEY_BYTES)


def wall_clock() -> int:
    """Return milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class ControlChannel:
    """Signs and sends the core's control messages; verifies those of other hosts.

    Parameters
    ----------
    core : Balancer
        Decision core.
    settings : Settings
        Endpoint of the socket, and the keys.
    boot_time : int
        Milliseconds since the epoch at which this process started.
    clock : callable
        Monotonic clock in seconds.
    perform : callable
        Executes actions of the core.
    """

    def __init__(
        self,
        core: Balancer,
        settings: Settings,
        boot_time: int,
        clock: Callable[[], float],
        perform: Callable[[list[Action]], None],
    ) -> None:
        self.core = core
        self.clock = clock
        self.perform = perform
        keys = read_keys(settings.control)
        host_id = settings.host.id
        self.encoder = DatagramEncoder(host_id, keys[0], boot_time)
        self.decoder = DatagramDecoder(host_id, keys)
        self.budget: ControlBudget[Outgoing] = ControlBudget()
        self.socket = bind_udp(settings.host.control)

    @classmethod
    def from_settings(
        cls,
        core: Balancer,
        settings: Settings,
        boot_time: int,
        clock: Callable[[], float],
        perform: Callable[[list[Action]], None],
    ) -> ControlChannel:
        """Return a channel with the keys read and the socket bound."""
        return cls(core, settings, boot_time, clock, perform)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

    def receive(self, datagram: bytes, source: Source) -> None:
        """Pass an authentic message to the core; count any other datagram."""
        try:
            opened = self.decoder.decode_datagram(datagram, wall_clock())
        except ControlMessageError as error:
            self.core.tables.counters[f"control.rejected.{error.reason}"] += 1
            return
        event = ControlReceived(opened.sender, opened.message)
        self.perform(self.core.receive(event, self.clock()))

    def send(self, action: SendControl) -> None:
        """Send a message now, or as soon as the budget allows it."""
        try:
            datagram = self.encoder.encode_datagram(
                action.message, action.host_id, wall_clock()
            )
        except ControlMessageError as error:
            self.core.tables.counters[f"control.unsent.{error.reason}"] += 1
            return
        priority = priority_of(action.message)
        outgoing = Outgoing(action.host_id, datagram, priority)
        self.budget.enqueue(outgoing, priority, len(datagram), self.clock())
        self.flush()

    def flush(self) -> None:
        """Send the queued messages that the budget allows now."""
        counters = self.core.tables.counters
        for outgoing in self.budget.dequeue(self.clock()):
            row = self.core.tables.hosts.get(outgoing.host_id)
            if row is None:
                continue
            if not send(self.socket, outgoing.datagram, row.host.control):
                counters["dropped.send"] += 1
                continue
            counters[outgoing.counter] += len(outgoing.datagram) + IP_UDP_HEADERS
        counters["control.over_budget"] = self.budget.dropped


class Outgoing:
    """A signed datagram queued for a host."""

    __slots__ = ("datagram", "host_id", "priority")

    def __init__(self, host_id: str, datagram: bytes, priority: Priority) -> None:
        self.host_id = host_id
        self.datagram = datagram
        self.priority = priority

    @property
    def counter(self) -> str:
        """Name of the counter of its bytes; snapshot transfers have their own."""
        bulk = self.priority is Priority.BULK
        return "control.bulk_bytes_sent" if bulk else "control.bytes_sent"


def read_keys(section: ControlSection) -> tuple[bytes, ...]:
    """Return the current key, and the previous one if configured.

    Raises
    ------
    SettingsError
        If a key cannot be read or has an invalid length.
    """
    if not section.has_key:
        log(CONTROL_WITHOUT_KEY)
        return (LOOPBACK_KEY,)
    keys = [read_key("control.key", section.key, section.key_file)]
    if section.has_previous:
        previous = section.previous_key, section.previous_key_file
        keys.append(read_key("control.previous_key", *previous))
    return tuple(keys)


def read_key(name: str, value: SecretStr | None, file: str | None) -> bytes:
    """Return one key from the settings or its file."""
    remedy = f"give at least {MIN_KEY_BYTES} bytes as hexadecimal digits"
    text = value.get_secret_value() if value is not None else ""
    if file is not None:
        try:
            text = Path(file).read_text("ascii")
        except (OSError, ValueError):
            message = f"{name}_file: {file} cannot be read"
            raise SettingsError(message, "give a readable file") from None
    try:
        key = bytes.fromhex(text.strip())
    except ValueError:
        raise SettingsError(f"{name} is not hexadecimal", remedy) from None
    # blake2b accepts keys of at most 64 bytes.
    if not MIN_KEY_BYTES <= len(key) <= 64:
        raise SettingsError(f"{name} has {len(key)} bytes", remedy)
    return key
