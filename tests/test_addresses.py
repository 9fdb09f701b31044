"""Addresses are read as the operating system reads them."""

from __future__ import annotations

from socket import AF_INET, inet_pton

from hypothesis import given
from hypothesis import strategies as st

from citronspring.addresses import parse_ipv4

PARTS = st.integers(0, 300).map(str) | st.text("0123456789+ _-", max_size=4)


def parsed(text):
    try:
        return parse_ipv4(text).to_bytes(4, "big")
    except ValueError:
        return None


def reference(text):
    try:
        return inet_pton(AF_INET, text)
    except (OSError, ValueError):
        return None


@given(st.lists(PARTS, min_size=3, max_size=5).map(".".join) | st.text(max_size=12))
def test_parser_agrees_with_the_operating_system(text):
    """A looser parser takes an address that fails in the socket, far from its entry."""
    assert parsed(text) == reference(text)
