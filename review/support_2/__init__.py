"""Stand-ins of the second review: store, routers, clients and servers on loopback."""
