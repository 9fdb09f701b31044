"""Envelopes: who sent a control datagram, and that it is genuine and new.

A datagram is one byte of version, a keyed digest, and an encoded envelope. The
digest covers the receiver's id too, so that a datagram to one host is none to
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

#: Bytes of the digest.
DIGEST_SIZE = 16
HEADER_SIZE = len(VERSION) + DIGEST_SIZE

#: Bytes above which a datagram is neither sent nor read.
MAX_DATAGRAM = 8192

#: Milliseconds that two hosts' clocks, and the way between them, may differ.
MAX_CLOCK_SKEW_MS = 30_000

#: Sequence numbers behind the highest that may still arrive, once each.
REPLAY_WINDOW = 1024

#: Shortest key, in bytes.
MIN_KEY_BYTES = 16


@dataclass(slots=True)
class ReplayWindow:
    """Which datagrams of one run of a sender have arrived."""

    boot_time: int
    highest: int = 0
    #: Bit n stands for the sequence number ``highest - n``.
    seen: int = 0
    #: From this time any datagram of it is refused for its age alone.
    expires_at: int = 0

    def admit(self, sequence: int) -> bool:
        """Note a sequence number; return False when it came before."""
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
    """A genuine control message."""

    sender: str
    message: ControlMessage


@dataclass(slots=True)
class DatagramEncoder:
    """Makes this host's datagrams."""

    sender: str
    key: bytes
    #: Milliseconds since the epoch.
    boot_time: int
    sequence: int = 0

    def encode_datagram(
        self, message: ControlMessage, receiver: str, now: int
    ) -> bytes:
        """Return the datagram of a message to a host.

        Parameters
        ----------
        message : ControlMessage
            What to say.
        receiver : str
            The host it is for.
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
            text = f"a control message of {len(body)} bytes is not sent"
            raise ControlMessageError(text, "shorten names", reason="oversized")
        return VERSION + digest_of(self.key, receiver, body) + body


@dataclass(slots=True)
class DatagramDecoder:
    """Checks and reads datagrams for this host."""

    receiver: str
    #: The key in use, and the one before while keys are being replaced.
    keys: tuple[bytes, ...]
    windows: dict[str, ReplayWindow] = field(default_factory=dict)

    def decode_datagram(self, datagram: bytes, now: int) -> ReceivedMessage:
        """Return the message of a datagram.

        Raises
        ------
        ControlMessageError
            When it is oversized, malformed, forged, old or replayed. Nothing
            has changed then.
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
        """Check the digest against every accepted key."""
        for key in self.keys:
            if hmac.compare_digest(digest, digest_of(key, self.receiver, body)):
                return
        raise rejection_error("forged", "give all hosts the same control key")

    def check_replay(self, sender: str, envelope: ttypes.Envelope, now: int) -> None:
        """Refuse what came before, or from before the sender's last start."""
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
        """Forget senders whose datagrams are all too old by now."""
        expired = [key for key, row in self.windows.items() if row.expires_at <= now]
        for sender in expired:
            del self.windows[sender]


def rejection_error(reason: str, remedy: str) -> ControlMessageError:
    """Return the error for a datagram that is not taken."""
    return ControlMessageError(f"{reason} control datagram", remedy, reason=reason)


def digest_of(key: bytes, receiver: str, body: bytes) -> bytes:
    """Return the keyed digest of what goes to a receiver."""
    state = hashlib.blake2b(key=key, digest_size=DIGEST_SIZE)
    state.update(len(receiver.encode()).to_bytes(2, "big"))
    state.update(receiver.encode())
    state.update(body)
    return state.digest()
