"""Tests of daemons."""
