"""Entries that another program writes under the prefix of the targets."""

from __future__ import annotations

import json
from itertools import product
from typing import TYPE_CHECKING

from soak.hosts import loopback_net

if TYPE_CHECKING:
    from soak.run import Soak

#: JSON texts that a field may hold, none of which a host can use.
STRANGE_VALUES = (
    "1" + "0" * 400,
    "-1" + "0" * 400,
    "9" * 5000,
    "1e999",
    "NaN",
    "null",
    "[]",
    '"nan"',
    r'"\ud800"',
    f'"{"x" * 20_000}"',
    "[" * 5000 + "]" * 5000,
    # Nested as deeply as can just be read, and invalid behind that.
    *("[" * depth + "]" * depth + " x" for depth in range(970, 1000)),
    f'"{loopback_net()}.3:70000"',
    '"255.255.255.255:9"',
)

#: Stands in an entry where the strange value goes.
PLACEHOLDER = "@strange@"


#: An entry for a service that no route names.
ENTRY = {
    "service": "other",
    "addr": f"{loopback_net()}.3:9",
    "zone": "north",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 3000,
    "seq": 1,
    "born": 1_764_720_000_000,
}


def write_strange_entries(soak: Soak) -> None:
    """Write an entry for each field and strange value, in a random order."""
    pairs = list(product(ENTRY, STRANGE_VALUES))
    soak.clock.rng.shuffle(pairs)
    for field, value in pairs:
        text = json.dumps({**ENTRY, field: PLACEHOLDER})
        text = text.replace(json.dumps(PLACEHOLDER), value)
        soak.store.put_text(f"servers/i-{soak.clock.rng.randrange(1, 1 << 48):x}", text)
