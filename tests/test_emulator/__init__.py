"""Tests that run the emulator."""
