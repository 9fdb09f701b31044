"""The hierarchy of typed errors; each message names the remedy."""

from __future__ import annotations


class CitronspringError(Exception):
    """Base of every error the package raises.

    Parameters
    ----------
    message : str
        What is wrong, in one line.
    remedy : str
        What the reader can do about it, in one line.
    """

    #: Stable word for machines: exit codes and problem documents use it.
    kind = "error"

    def __init__(self, message: str, remedy: str = "") -> None:
        self.message = message
        self.remedy = remedy
        super().__init__(f"{message}; {remedy}" if remedy else message)


class SettingsError(CitronspringError):
    """A settings file does not describe a process."""

    kind = "settings"


class ConfigurationError(CitronspringError):
    """A template or client account is not valid."""

    kind = "invalid-configuration"


class NotFoundError(CitronspringError):
    """A template, client account, target or host is not known."""

    kind = "not-found"


class ConflictError(CitronspringError):
    """Another operator changed the same client account first."""

    kind = "conflict"


class MoveRefusedError(CitronspringError):
    """An address still belongs, somewhere, to another client account."""

    kind = "move-refused"


class PlatformUnavailableError(CitronspringError):
    """The platform gave no answer, and nothing was changed."""

    kind = "platform-unavailable"


class OutcomeUnknownError(CitronspringError):
    """The platform's answer to a write was lost; the write may have happened."""

    kind = "outcome-unknown"


class MalformedPacketError(CitronspringError):
    """Bytes from the network are not a packet this balancer forwards."""

    kind = "malformed-packet"


class ControlMessageError(CitronspringError):
    """A control datagram is malformed, forged or replayed."""

    kind = "control-message"
