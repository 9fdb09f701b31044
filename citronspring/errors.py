"""Typed errors; each has a message and a remedy."""

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

    #: Stable identifier for programs; exit codes and problem documents use it.
    kind = "error"

    def __init__(self, message: str, remedy: str = "") -> None:
        self.message = message
        self.remedy = remedy
        super().__init__(f"{message}; {remedy}" if remedy else message)


class SettingsError(CitronspringError):
    """The settings of a process are not valid."""

    kind = "settings"


class ConfigurationError(CitronspringError):
    """A template or client account is not valid."""

    kind = "invalid-configuration"


class NotFoundError(CitronspringError):
    """A template, client account, target or host is not known."""

    kind = "not-found"


class ConflictError(CitronspringError):
    """Another operator has changed the same client account since it was read.

    Parameters
    ----------
    message, remedy : str
        As for every error; the message shows the other change.
    change_id : str
        The other operator's change.
    revision : int
        Revision at which the other change was committed.
    difference : tuple of str
        What the other change did to the account, a line per difference.
    """

    kind = "conflict"

    def __init__(
        self,
        message: str,
        remedy: str = "",
        *,
        change_id: str = "",
        revision: int = 0,
        difference: tuple[str, ...] = (),
    ) -> None:
        self.change_id = change_id
        self.revision = revision
        self.difference = difference
        super().__init__(message, remedy)


class MoveRefusedError(CitronspringError):
    """An address still belongs to another client account in some availability zone.

    Parameters
    ----------
    message, remedy : str
        As for every error.
    zones : tuple of str
        Zones that have not yet confirmed that the other account released the address.
    """

    kind = "move-refused"

    def __init__(
        self, message: str, remedy: str = "", *, zones: tuple[str, ...] = ()
    ) -> None:
        self.zones = zones
        super().__init__(message, remedy)


class PlatformUnavailableError(CitronspringError):
    """The platform is unavailable; nothing was changed."""

    kind = "platform-unavailable"


class VersionMismatchError(CitronspringError):
    """A compare-and-swap found another version; nothing was written."""

    kind = "version-mismatch"


class StoredValueError(CitronspringError):
    """A value in the platform cannot be read by this release."""

    kind = "stored-value"


class ChangesLostError(StoredValueError):
    """The platform was restored from a backup that lacks accepted changes."""

    kind = "changes-lost"


class OutcomeUnknownError(CitronspringError):
    """The platform's answer to a write was lost; the write may have happened."""

    kind = "outcome-unknown"


class MalformedPacketError(CitronspringError):
    """A datagram from the network is not a packet that the balancer forwards."""

    kind = "malformed-packet"


class ControlMessageError(CitronspringError):
    """A control datagram is malformed, forged or replayed.

    Parameters
    ----------
    message, remedy : str
        As for every error.
    reason : str
        Stable identifier under which it is counted.
    """

    kind = "control-message"

    def __init__(
        self, message: str, remedy: str = "", *, reason: str = "malformed"
    ) -> None:
        self.reason = reason
        super().__init__(message, remedy)
