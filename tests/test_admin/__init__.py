"""Tests of the administration API."""
