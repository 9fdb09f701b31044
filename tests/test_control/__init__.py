"""Tests of the control messages on the wire."""
