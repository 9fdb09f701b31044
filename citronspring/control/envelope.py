"""Envelopes: authentication and replay protection of control datagrams.

A datagram is one version byte, a keyed digest, and an encoded envelope. The digest
also covers the receiver's id, so that a datagram for one host is not valid for
another.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from citronspring.control.codec import decode, encode, read_message, write_message
from citronspring.control.generated import ttypes
from citronspring.control.wire import check_integer, check_name
from citronspring.errors import ControlMessageError

if TYPE_CHECKING:
    from citronspring.control.messages import ControlMessage

VERSION = b"\x01"

#: Size of the digest in bytes.
DIGEST_SIZE = 16
HEADER_SIZE = len(VERSION) + DIGEST_SIZE

#: Maximum size of a datagram in bytes, both when sending and when receiving.
MAX_DATAGRAM = 8192

#: Maximum clock skew between two hosts plus network delay, in milliseconds.
MAX_CLOCK_SKEW_MS = 30_000

#: Number of sequence numbers, counted back from the highest one received, that are
#: still accepted, once each.
REPLAY_WINDOW = 1024

#: Minimum size of a key in bytes.
MIN_KEY_BYTES = 16


@dataclass(slots=True)
class ReplayWindow:
    """Sequence numbers received from a sender since its last start."""

    boot_time: int
    highest: int = 0
    #: Bit n is set if the sequence number ``highest - n`` has been received.
    seen: int = 0
    #: From this time on all of its datagrams are rejected by their timestamp alone.
    expires_at: int = 0

    def admit(self, sequence: int) -> bool:
        """Record a sequence number; return False if it is a replay or too old."""
        ahead = sequence - self.highest
        if ahead > 0:
            kept = self.seen << ahead if ahead < REPLAY_WINDOW else 0
            self.seen = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


@dataclass(slots=True)
class ReceivedMessage:
    """An authenticated control message."""

    sender: str
    message: ControlMessage


@dataclass(slots=True)
class DatagramEncoder:
    """Encodes and signs the datagrams of this host."""

    sender: str
    key: bytes
    #: Milliseconds since the epoch.
    boot_time: int
    sequence: int = 0

    def encode_datagram(
        self, message: ControlMessage, receiver: str, now: int
    ) -> bytes:
        """Return the datagram that carries a message to a host.

        Parameters
        ----------
        message : ControlMessage
            The message to send.
        receiver : str
            Id of the receiving host.
        now : int
            Milliseconds since the epoch.
        """
        self.sequence += 1
        union = write_message(message)
        envelope = ttypes.Envelope(
            self.sender, self.boot_time, self.sequence, now, union
        )
        body = encode(envelope)
        if len(body) + HEADER_SIZE > MAX_DATAGRAM:
            text = f"control message of {len(body)} bytes is too large to send"
            raise ControlMessageError(text, "shorten names", reason="oversized")
        return VERSION + digest_of(self.key, receiver, body) + body


@dataclass(slots=True)
class DatagramDecoder:
    """Authenticates and decodes the datagrams that this host receives."""

    receiver: str
    #: The current key, and also the previous one during a key rotation.
    keys: tuple[bytes, ...]
    windows: dict[str, ReplayWindow] = field(default_factory=dict)

    def decode_datagram(self, datagram: bytes, now: int) -> ReceivedMessage:
        """Return the message that a datagram carries.

        Raises
        ------
        ControlMessageError
            If it is oversized, malformed, forged, too old or replayed. The decoder's
            state is unchanged then.
        """
        if len(datagram) > MAX_DATAGRAM:
            raise rejection_error("oversized", "shorten names")
        if len(datagram) <= HEADER_SIZE or not datagram.startswith(VERSION):
            raise rejection_error("malformed", "run the same release on all hosts")
        self.authenticate(datagram[len(VERSION) : HEADER_SIZE], datagram[HEADER_SIZE:])
        envelope = decode(datagram[HEADER_SIZE:])
        sender = check_name(envelope.sender, "sender")
        if abs(check_integer(envelope.sent_at, "time") - now) > MAX_CLOCK_SKEW_MS:
            raise rejection_error("clock", "set the clocks of all hosts by one source")
        message = read_message(envelope.message)
        self.check_replay(sender, envelope, now)
        return ReceivedMessage(sender, message)

    def authenticate(self, digest: bytes, body: bytes) -> None:
        """Raise ControlMessageError unless an accepted key gives the digest."""
        for key in self.keys:
            if hmac.compare_digest(digest, digest_of(key, self.receiver, body)):
                return
        raise rejection_error("forged", "give all hosts the same control key")

    def check_replay(self, sender: str, envelope: ttypes.Envelope, now: int) -> None:
        """Reject replayed datagrams, and those from before the sender's last start."""
        boot_time = check_integer(envelope.boot_time, "boot time")
        sequence = check_integer(envelope.sequence, "sequence number")
        window = self.windows.get(sender)
        if window is None or boot_time > window.boot_time:
            self.remove_expired_windows(now)
            window = ReplayWindow(boot_time)
            self.windows[sender] = window
        if boot_time < window.boot_time or not window.admit(sequence):
            raise rejection_error("replayed", "look for who sends copies")
        window.expires_at = now + 2 * MAX_CLOCK_SKEW_MS

    def remove_expired_windows(self, now: int) -> None:
        """Remove the windows of senders all of whose datagrams are too old by now."""
        expired = [key for key, row in self.windows.items() if row.expires_at <= now]
        for sender in expired:
            del self.windows[sender]


def rejection_error(reason: str, remedy: str) -> ControlMessageError:
    """Return the error for a rejected datagram."""
    return ControlMessageError(f"{reason} control datagram", remedy, reason=reason)


def digest_of(key: bytes, receiver: str, body: bytes) -> bytes:
    """Return the keyed digest of a body that is sent to a receiver."""
    state = hashlib.blake2b(key=key, digest_size=DIGEST_SIZE)
    state.update(len(receiver.encode()).to_bytes(2, "big"))
    state.update(receiver.encode())
    state.update(body)
    return state.digest()
