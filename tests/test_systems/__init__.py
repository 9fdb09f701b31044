"""Tests of systems."""
