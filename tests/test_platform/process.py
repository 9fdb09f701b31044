"""A host process with a store, one target and a caller, for tests of the program."""

from __future__ import annotations

import itertools
import json
import os
import socket
import struct
import subprocess
import sys
import time
import urllib.error
import urllib.request

from soak.hosts import loopback_net
from soak.store import StoreStandIn
from tests.test_platform.test_store import CONFIGURATION, TARGET

#: Timeout in seconds for events that usually happen within a second.
TIMEOUT = 20.0

SYN, ACK = 16, 2
PACKETS, READINESS, COPIES = 7700, 7701, 7702

#: Paths of calls that read the store.
READS = ("/api/kv-range", "/api/kv-watch")

#: Last octets of the hosts' addresses, one per host.
LAST_OCTETS = itertools.count(20)

CALLER = ("127.0.0.1", 40001)
SERVICE = ("198.18.0.1", 8443)


def packet(flags, *, port=SERVICE[1], seq=1, ack=0, token=0, payload=b""):
    head = struct.pack(
        ">IIBIHHIIIH",
        seq,
        ack,
        flags,
        token,
        port,
        CALLER[1],
        int.from_bytes(socket.inet_aton(CALLER[0]), "big"),
        int.from_bytes(socket.inet_aton(SERVICE[0]), "big"),
        7,
        len(payload),
    )
    return head + payload


def eventually(check):
    """Wait until a check returns something true, and return it."""
    deadline = time.monotonic() + TIMEOUT
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError("the condition was not met in time")


class Host:
    """A host process with a store, one target and a caller's socket."""

    def __init__(self, folder):
        self.store = StoreStandIn()
        self.ip = f"{loopback_net()}.{next(LAST_OCTETS)}"
        self.seeds = []
        self.name = "host-1"
        self.target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.target.bind(("127.0.0.1", 0))
        self.target.settimeout(TIMEOUT)
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.caller.bind(("127.0.0.2", 0))
        self.settings = folder / "settings.json"
        self.log = folder / "log"

    def configure(self):
        self.store.put("op/config", CONFIGURATION)
        port = self.target.getsockname()[1]
        entry = {**TARGET, "addr": f"127.0.0.1:{port}"}
        self.store.put("servers/i-2ea29917b4", entry)

    def write_settings(self, store_port, **changes):
        table = {
            "node_name": self.name,
            "zone": "north",
            "listen_addrs": {
                "datagram_addr": f"{self.ip}:{PACKETS}",
                "ready": f"{self.ip}:{READINESS}",
                "control": f"{self.ip}:{COPIES}",
            },
            "seeds": self.seeds,
            "bounds": {
                "config_apply_ms": 3000,
                "stable_window_ms": 4000,
                "grace_s": 6,
            },
            "platform": {"addr": f"127.0.0.1:{store_port}"},
        }
        self.settings.write_text(json.dumps({**table, **changes}))

    def start(self, store_port):
        self.write_settings(store_port)
        # A separate handle: reading through the same one would move the host's write
        # position.
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "citronspring.platform"],
                env={**os.environ, "CITRONSPRING_BOOT": str(self.settings)},
                stdout=log,
                stderr=log,
            )

    def get(self, path="/api/ready"):
        """Return status and text of the readiness address; None if it is not up."""
        url = f"http://{self.ip}:{READINESS}{path}"
        try:
            with urllib.request.urlopen(url, timeout=TIMEOUT) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except (urllib.error.URLError, ConnectionError):
            return None

    def status(self):
        found = self.get()
        return found and found[0]

    def send(self, data):
        self.caller.sendto(data, (self.ip, PACKETS))

    def lines(self):
        """Return the complete lines of the log so far."""
        text = self.log.read_text()
        return [
            json.loads(line) for line in text.splitlines(keepends=True) if "\n" in line
        ]

    def logged(self, event):
        return [line for line in self.lines() if line["event"] == event]
