"""One host at the design size: process memory, CPU time of control messages."""

from __future__ import annotations

import json
import resource
import subprocess
import sys
import time

from benchmarks.gossip import KEY, UNIX_TIME_MS, Fleet
from benchmarks.result import Result
from citronspring.balancer import Balancer
from citronspring.control.envelope import DatagramDecoder, DatagramEncoder
from citronspring.control.messages import Ping
from citronspring.daemons.host import HostDaemon
from citronspring.entities import (
    Account,
    Endpoint,
    Host,
    Protocol,
    ServiceAddress,
    Snapshot,
    Target,
)
from citronspring.messages import Packet, PacketReceived, SnapshotRead
from citronspring.rendezvous import flow_key
from citronspring.tcp_flags import SYN

COMMAND = "python -m benchmarks --only footprint"

#: Design size: client accounts with one address each, their targets, and flow rows on
#: one host. The rows are its share of 30 million flows over 3,400 hosts, backup
#: bindings kept for 30 s, and closed flows kept for 60 s, at 59 new flows per second.
ACCOUNTS = 2_900
TARGETS = 28_000
FLOWS = 14_100

#: Largest memory of a process in MB, and largest share of a CPU core for control
#: messages.
MEMORY_BOUND = 256.0
CONTROL_BOUND = 0.031

#: Number of hosts of the fleet whose control messages are timed, and virtual seconds
#: before and during the measurement.
FLEET_SIZE = 300
SETTLING_TIME = 2.0
MEASURED_TIME = 5.0
SEED = 11

#: Number of messages encoded and decoded to time one.
MESSAGES = 2_000


def make_snapshot() -> Snapshot:
    """Return the configuration at the design size."""
    per_account, more = divmod(TARGETS, ACCOUNTS)
    accounts = []
    number = 0
    for index in range(ACCOUNTS):
        count = per_account + (index < more)
        targets = tuple(make_target(index, number + item) for item in range(count))
        number += count
        ip = f"10.0.{index // 250}.{index % 250 + 1}"
        address = ServiceAddress(ip, 443, Protocol.TCP)
        accounts.append(Account(f"account-{index}", (address,), targets, ("zone",)))
    return Snapshot(1, tuple(accounts))


def make_target(account: int, number: int) -> Target:
    """Return the target `number` of the client account with index `account`."""
    ip = f"10.{1 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"
    tunnel = Endpoint(ip, 6080)
    return Target(f"target-{number}", f"account-{account}", tunnel, "zone")


def fill_host() -> dict[str, float]:
    """Fill a core in this process; return memory (MB) and time to configure (s)."""
    sockets = [Endpoint("127.0.0.1", port) for port in (1, 2, 3)]
    core = Balancer.from_config(Host("host", "zone", "group", *sockets))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started_at = time.process_time()
    core.receive(SnapshotRead(make_snapshot()), 0.0)
    seconds = time.process_time() - started_at
    for number in range(FLOWS):
        index = number % ACCOUNTS
        ip = f"10.0.{index // 250}.{index % 250 + 1}"
        flow = flow_key(Protocol.TCP, ip, 443, "198.51.100.1", 1024 + number)
        core.receive(PacketReceived(Packet(flow, True, SYN, 0, 0, 0, b"")), 10.0)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {"before": before / 1024, "after": after / 1024, "seconds": seconds}


def control_cpu_share() -> float:
    """Return the share of a CPU core that control messages of one host take.

    This includes the time of the in-memory network, which a real host does not run.
    """
    fleet = Fleet.from_size(FLEET_SIZE, 0.0, SEED)
    fleet.run(SETTLING_TIME)
    started_at = time.process_time()
    fleet.run(MEASURED_TIME)
    return (time.process_time() - started_at) / MEASURED_TIME / FLEET_SIZE


def message_time() -> float:
    """Return the seconds of CPU time to encode and decode one message."""
    encoder = DatagramEncoder("host-1", KEY, UNIX_TIME_MS)
    decoder = DatagramDecoder("host-0", (KEY,))
    started_at = time.process_time()
    for number in range(MESSAGES):
        decoder.decode_datagram(
            encoder.encode_datagram(Ping(number, 1), "host-0", UNIX_TIME_MS),
            UNIX_TIME_MS,
        )
    return (time.process_time() - started_at) / MESSAGES


def run() -> list[Result]:
    """Return the figures of one host.

    The memory is measured in a fresh process.
    """
    child = [sys.executable, "-m", "benchmarks.footprint"]
    output = subprocess.run(child, check=True, capture_output=True, text=True).stdout
    filled = json.loads(output)
    memory, share = filled["after"], control_cpu_share()
    return [
        Result.at_most(
            "footprint.process", memory, "MB", MEMORY_BOUND, command=COMMAND
        ),
        Result("footprint.imports", filled["before"], "MB", command=COMMAND),
        Result("footprint.configure", filled["seconds"], "s", command=COMMAND),
        Result.at_most(
            "footprint.control_300_hosts",
            share,
            "of a core",
            CONTROL_BOUND,
            seed=SEED,
            command=COMMAND,
        ),
        Result("footprint.message", message_time() * 1e6, "us", command=COMMAND),
    ]


#: The daemon. Its import makes its libraries count in the memory of the process.
DAEMON = HostDaemon

if __name__ == "__main__":
    print(json.dumps(fill_host()))
