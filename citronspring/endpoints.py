"""Addresses of processes and sockets."""

from __future__ import annotations

from citronspring.light_stdlib import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import NamedTuple

    class EndpointFields(NamedTuple):
        """Fields of an endpoint."""

        ip: str
        port: int

else:
    from _collections import _tuplegetter

    class EndpointFields(tuple):
        """The same fields without ``typing``, which a starting host does not import.

        Validators treat a class with ``_fields`` as a named tuple.
        """

        __slots__ = ()
        __match_args__ = _fields = ("ip", "port")
        _field_defaults = {}
        ip: str = _tuplegetter(0, "Address in text form.")
        port: int = _tuplegetter(1, "Port.")

        def __new__(cls, ip, port):
            """Create the pair."""
            return tuple.__new__(cls, (ip, port))

        def __getnewargs__(self):
            return tuple(self)

        def __repr__(self):
            return f"{type(self).__name__}(ip={self.ip!r}, port={self.port!r})"


class Endpoint(EndpointFields):
    """An IP address and port of a process or tunnel end, usable as a socket address.

    The address is in text form, IPv4 or IPv6.
    """

    __slots__ = ()

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def from_text(cls, text: str) -> Endpoint:
        """Parse ``ip:port``; raises ValueError if the port is not a number."""
        ip, _, port = text.rpartition(":")
        return cls(ip.strip("[]"), int(port))
