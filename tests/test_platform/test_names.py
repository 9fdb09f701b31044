"""The platform's names stay in the adapter, and nothing imports the adapter."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "citronspring"

#: Fields, paths, keys, headers and words that are specific to the platform.
NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|/api/|op/config|op/evacuate|servers/|datagram_addr"
    r"|listen_addrs|node_name|heartbeat_ms|warmup_left_ms|forwarding_mode|flow_hash"
    r"|config_apply_ms|grace_s|store_revision\"|has_more|wait_ms|stale_ok"
    r"|CITRONSPRING_BOOT|X-Not-Executed|X-Server-Seal|BOUNCED|fleetbench"
)


def sources():
    """Return the modules outside the adapter."""
    return [
        path
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0] != "platform"
    ]


def test_no_name_of_the_platform_outside_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in sources()
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_nothing_imports_the_adapter():
    found = [
        str(path.relative_to(PACKAGE))
        for path in sources()
        if "citronspring.platform" in path.read_text()
    ]
    assert found == []


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / "platform").iterdir()
        if path.suffix == ".py"
    )
    assert lines < 900
