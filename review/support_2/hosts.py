"""Host processes of the deploy file, and the platform's routers before them."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Settings of a small deployment, as `DEPLOY.md` and `fleetbench wire` show them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "flow_stray_ms": 2000,
    "flow_ttl_s": 60,
}
PROBE_SECONDS = 0.5


class Launcher:
    """Starts hosts by `launcher.py`, and follows their starts and ends."""

    def __init__(self):
        self.hosts = {}
        self.process = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).with_name("launcher.py"))],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.thread = threading.Thread(target=self.follow, daemon=True)
        self.thread.start()

    def start(self, host):
        """Start the process of a host."""
        command = {
            "name": host.name,
            "settings": str(host.path),
            "log": f"{host.folder}/{host.name}.log",
            "root": str(ROOT),
        }
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def follow(self):
        """Read the reports."""
        for line in self.process.stdout:
            report = json.loads(line)
            host = self.hosts[report["name"]]
            if "pid" in report:
                host.pid, host.starting = report["pid"], False
            else:
                host.code, host.pid = report["ended"], None

    def stop(self):
        """Kill all hosts and wait for their end."""
        self.process.stdin.close()
        self.process.wait()
        self.thread.join()


class Host:
    """One entry host: ``python3 -S deploy/host.py`` with its settings file."""

    def __init__(self, launcher, folder, name, zone, ip, port, seeds, store, **changes):
        self.launcher = launcher
        launcher.hosts[name] = self
        self.folder, self.name, self.zone, self.ip = folder, name, zone, ip
        self.packets = (ip, port)
        self.ready = (ip, port + 1)
        self.control = f"{ip}:{port + 2}"
        #: Process id while it runs, and how its last process ended.
        self.pid = None
        self.starting = False
        self.code = None
        #: What the routers know: whether it is in rotation, and missed probes.
        self.in_rotation = False
        self.misses = 0
        self.path = pathlib.Path(folder) / f"{name}.json"
        self.settings = {
            "node_name": name,
            "role": "host",
            "machine_class": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "internal_ports": [port + 10, port + 25],
            "seeds": seeds,
            "bootstrap": True,
            "discovery": "platform",
            "entry": "announce",
            "heartbeat_ms": 1200,
            "flow_hash": "steady",
            "forwarding_mode": "echo",
            "listen_addrs": {
                "datagram_addr": f"{ip}:{port}",
                "ready": f"{ip}:{port + 1}",
                "control": self.control,
            },
            "limits": {
                "cpu_share": 0.236,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "bounds": BOUNDS,
            "platform": {
                "addr": store,
                "forwarding_mode": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            **changes,
        }
        self.path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process."""
        self.starting = True
        self.launcher.start(self)

    @property
    def running(self):
        """Whether the process runs, or is being started."""
        return self.starting or self.pid is not None

    def send_signal(self, signum):
        """Send a signal to the process if it runs."""
        if self.pid is not None:
            os.kill(self.pid, signum)

    def terminate(self):
        """Send SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def get(self, path):
        """Return status and body at the readiness address; status 0 for no answer."""
        connection = http.client.HTTPConnection(*self.ready, timeout=0.4)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()


class Routers:
    """The platform's routers: probe the hosts, and choose one for each packet."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.probe, args=(host,), daemon=True)
            for host in hosts
        ]
        for thread in self.threads:
            thread.start()

    def probe(self, host):
        """Ask a host twice per second; two misses take it out of rotation."""
        while not self.stopped.wait(PROBE_SECONDS):
            status, _ = host.get("/api/ready")
            if status == 200:
                host.misses, host.in_rotation = 0, True
            else:
                host.misses += 1
                if host.misses >= 2:
                    host.in_rotation = False

    def choose(self, key):
        """Return the host for a flow: only flows of a changed host move."""
        up = [host for host in self.hosts if host.in_rotation]
        if 2 * len(up) < len(self.hosts):
            up = self.hosts
        return max(up, key=lambda host: zlib.crc32(key + host.name.encode()))

    def wait_ready(self, seconds=10.0):
        """Wait until all hosts are in rotation; return whether they are."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(host.in_rotation for host in self.hosts):
                return True
            time.sleep(0.05)
        return False

    def stop(self):
        """Stop probing."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
