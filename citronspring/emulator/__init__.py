"""Seeded simulation of token-mode hosts in virtual time, checked for violations.

The decision core is the real one; the store, targets, callers (the clients that open
flows), links and routers are emulated.
"""
