"""Flags of the TCP header.

They are plain integers: on the hot path, arithmetic on members of an enumeration costs
more than routing.
"""

from __future__ import annotations

FIN, SYN, RST, ACK = 1, 2, 4, 16
