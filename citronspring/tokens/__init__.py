"""Decision core of the token mode: each packet carries a token that names its target.

A caller is a client that opens flows, and an opening is the SYN by which it does so.
"""
