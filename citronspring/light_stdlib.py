"""Parts of the standard library, without what their own modules import beside them.

A host that was killed serves again only after its imports. ``enum``, ``re`` and
``typing`` alone are half of those that ``socket``, ``signal``, ``selectors``, ``json``
and ``collections`` bring along, so a starting host takes the built-in halves of these
modules, and a class of its own where there is none. Type checkers see the standard
ones; what is imported later may use them. Sockets and signals are in
`citronspring.light_sockets`.
"""

from __future__ import annotations

__all__ = [
    "INFINITY",
    "LightEnum",
    "Counter",
    "Struct",
    "bisect_left",
    "deque",
    "heappop",
    "heappush",
    "set_blocking",
    "stat",
    "getenv",
    "write_bytes",
]

INFINITY = float("inf")

#: True for type checkers only.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from bisect import bisect_left
    from collections import Counter, deque
    from enum import Enum as LightEnum
    from heapq import heappop, heappush
    from os import set_blocking, stat
    from os import write as write_bytes
    from struct import Struct

    def getenv(name: str) -> str | None:
        """Return a variable of the environment, None if it is not set."""
else:
    from _bisect import bisect_left
    from _collections import deque
    from _heapq import heappop, heappush
    from _struct import Struct
    from posix import environ, set_blocking, stat
    from posix import write as write_bytes

    class Counter(dict):
        """Counts by key; one that was never counted is 0."""

        __slots__ = ()

        def __missing__(self, key):
            return 0

    class LightEnum:
        """Base of classes whose constants are their only instances, as of an enum."""

        __slots__ = ("name", "value")

        def __init_subclass__(cls):
            constants = [name for name in vars(cls) if not name.startswith("_")]
            for name in constants:
                member = object.__new__(cls)
                member.name = name
                member.value = vars(cls)[name]
                setattr(cls, name, member)

        def __repr__(self):
            return f"{type(self).__name__}.{self.name}"

    def getenv(name):
        """Return a variable of the environment, None if it is not set."""
        value = environ.get(name.encode())
        return None if value is None else value.decode(errors="surrogateescape")
