"""Parts of the standard library, without the imports of their public modules.

A restarted host serves only after its imports. ``enum``, ``re`` and ``typing`` alone
are half of what ``socket``, ``signal``, ``selectors``, ``json`` and ``collections``
import. A starting host therefore uses the built-in C modules behind them, and small
replacement classes where there is none. Type checkers see the standard modules, and
code that is imported later may use them. Sockets and signals are in
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
        """Return an environment variable, None if it is not set."""
else:
    from _bisect import bisect_left
    from _collections import deque
    from _heapq import heappop, heappush
    from _struct import Struct
    from posix import environ, set_blocking, stat
    from posix import write as write_bytes

    class Counter(dict):
        """Counts by key; a missing key counts as 0."""

        __slots__ = ()

        def __missing__(self, key):
            return 0

    class LightEnum:
        """Base of classes whose constants are their only instances, like an enum."""

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
        """Return an environment variable, None if it is not set."""
        value = environ.get(name.encode())
        return None if value is None else value.decode(errors="surrogateescape")
