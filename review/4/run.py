"""Case 4: rolling restarts of the hosts reset open flows of servers that live."""

import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from support_2.ends import ClientAddress, Record, Server  # noqa: E402
from support_2.hosts import Host, Launcher, Routers  # noqa: E402
from support_2.loop import Loop  # noqa: E402
from support_2.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 95.0
#: New flows a second in the zone, seconds that each lives, pause between requests.
RATE, LIFETIME, THINK = 250.0, 12.0, 3.0
#: Pause between two hosts of a roll, seconds.
GAP = 1.2
ROUTE = ("127.250.0.1", 443)
ZONES = ("qld-coast-a", "qld-coast-b", "qld-coast-c")
CLIENT_DELAY, IN_ZONE, CROSS_ZONE = 0.001, 0.0001, 0.0009


class Links:
    """One-way delays: 1 ms to clients, 0.9 ms between zones."""

    def to_host(self):
        """From a client to a host of its zone."""
        return CLIENT_DELAY

    def from_host(self, ip, zone):
        """From a host to a server."""
        return IN_ZONE if zone == ZONES[0] else CROSS_ZONE

    def to_client(self, zone):
        """From a server to a client."""
        return CLIENT_DELAY + (IN_ZONE if zone == ZONES[0] else CROSS_ZONE)


def main():
    """Play the case; return the exit code."""
    random.seed(4)
    net = f"127.{30 + os.getpid() // 250 % 200}.{1 + os.getpid() % 250}"
    port = 20000 + os.getpid() % 20000
    loop = Loop()
    record = Record(loop)
    store = Store(loop, f"{net}.1")
    common = {"link": Links(), "client_port": port}
    servers = []
    for index in range(10):
        name = f"i-{random.getrandbits(40):010x}"
        zone = ZONES[index % 3]
        ip = f"{net}.{100 + index}"
        server = Server(loop, record, store, name, "feedhub", zone, ip, **common)
        server.register()
        servers.append(server)
    route = {
        "name": "r-buoy-sync",
        "host": ROUTE[0],
        "prefix": f"/{ROUTE[1]}/",
        "route_type": "non_idempotent",
        "timeout_ms": 3598,
        "target_latency_ms": 600,
        "priority": 1,
        "service": "feedhub",
        "max_attempts": 2,
    }
    service = {"name": "feedhub", "health_path": "/health", "max_conns": 2000}
    limits = {"idle_timeout_ms": 15000}
    config = {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }
    store.put("op/config", config)
    launcher = Launcher()
    with tempfile.TemporaryDirectory() as folder:
        seeds = [f"{net}.{10 + index}:{port + 2}" for index in range(3)]
        hosts = [
            Host(
                launcher,
                folder,
                f"frontend-{index}",
                ZONES[0],
                f"{net}.{10 + index}",
                port,
                seeds,
                store.address,
            )
            for index in range(3)
        ]
        routers = Routers(hosts)
        try:
            return play(loop, record, routers, hosts, common, net)
        finally:
            routers.stop()
            launcher.stop()


def play(loop, record, routers, hosts, common, net):
    """Start the hosts, send traffic, and stop and start the hosts in turn."""
    for host in hosts:
        host.start()
    end = loop.now() + 10.0
    while not all(host.in_rotation for host in hosts):
        loop.run_until(loop.now() + 0.1)
        if loop.now() > end:
            print("the hosts did not become ready")
            return 2
    clients = [
        ClientAddress(loop, record, routers, f"{net}.{200 + index}", **common)
        for index in range(8)
    ]
    start = loop.now()

    def open_flow():
        if loop.now() < start + SECONDS - LIFETIME:
            client = random.choice(clients)
            client.open(ROUTE, think=THINK, lifetime=LIFETIME)
            loop.after(random.expovariate(RATE), open_flow)

    def roll(index):
        if loop.now() > start + SECONDS - 12:
            return
        host = hosts[index % len(hosts)]
        record.add(f"SIGTERM to {host.name}")
        host.terminate()
        loop.after(0.1, wait_end, host, index)

    def wait_end(host, index):
        if host.running:
            loop.after(0.05, wait_end, host, index)
            return
        record.add(f"{host.name} has ended with code {host.code}")
        loop.after(0.3, start_again, host, index)

    def start_again(host, index):
        host.start()
        wait_return(host, index)

    def wait_return(host, index):
        if not host.in_rotation:
            loop.after(0.1, wait_return, host, index)
            return
        record.add(f"{host.name} is in rotation again")
        loop.after(GAP, roll, index + 1)

    open_flow()
    if TROUBLE:
        loop.after(10.0, roll, 0)
    loop.run_until(start + SECONDS)
    lines = [f"TROUBLE={int(TROUBLE)}", *record.lines]
    lines += [f"{name}: {count}" for name, count in sorted(record.counts.items())]
    lines.append(f"latest timer of the stand-ins: {loop.worst_delay:.4f} s")
    (HERE / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    print(f"broken: {len(record.broken)}")
    if record.counts.get("requests answered", 0) < 1000:
        return 2
    return 1 if record.broken else 0


if __name__ == "__main__":
    sys.exit(main())
