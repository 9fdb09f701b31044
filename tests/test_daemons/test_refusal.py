"""The text that a refused caller receives."""

from __future__ import annotations

import re

from hypothesis import given
from hypothesis import strategies as st

from citronspring.daemons.packet_io import describe_refusal
from citronspring.messages import Packet, RefusalReason, Refuse

PACKET = Packet(b"", True, 0, 0, 0, 0, b"")


@given(st.floats(0.0, 1e6), st.floats(-10.0, 100.0))
def test_reported_retry_delay_is_never_too_short(now, wait):
    refusal = Refuse(PACKET, RefusalReason.ACCOUNT_RATE, now + wait)
    text = describe_refusal(refusal, now)
    [delay] = re.fullmatch(r"account-rate; retry after (.+) s", text).groups()
    assert max(0.0, wait) - 1e-6 <= float(delay) <= max(0.0, wait) + 0.1 + 1e-6
