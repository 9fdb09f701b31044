"""TCP flags of a packet, with the values they have in a TCP header.

Plain integers: on the hot path arithmetic of an enum costs more than routing.
"""

from __future__ import annotations

FIN, SYN, RST, ACK = 1, 2, 4, 16
