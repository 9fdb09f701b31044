"""Tests of standins."""
