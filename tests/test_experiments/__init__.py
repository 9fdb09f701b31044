"""Tests that run experiments."""
