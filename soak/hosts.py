"""Host processes, which are started, signalled and ended by their process ids."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import urllib.request
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from soak.proxy import Proxy

if TYPE_CHECKING:
    from pathlib import Path

#: Time-out of a request for the state of a host, seconds.
STATE_TIMEOUT = 0.25

#: Bounds in the settings of every host, the same as in the users' installations.
BOUNDS = {"config_apply_ms": 3000, "stable_window_ms": 4000, "grace_s": 6}

#: Seconds between two checks of the hosts.
CHECK_INTERVAL = 0.5


def loopback_net() -> str:
    """Return the first three octets of loopback addresses that only this process uses.

    On a shared address another connection can take a port after it was found free and
    before it is used.
    """
    pid = os.getpid()
    return f"127.{16 + (pid >> 8) % 200}.{pid % 256}"


@dataclass(slots=True)
class HostProcess:
    """One host: its settings, its proxy to the store, and its process."""

    name: str
    zone: str
    ip: str
    port: int
    folder: Path
    proxy: Proxy
    seeds: list[str] = field(default_factory=list)
    process: subprocess.Popen[bytes] | None = None
    #: Number of starts, which tells successive processes apart.
    start_count: int = 0
    paused: bool = False
    #: Start count when its state was last requested, and the answer.
    last_state: tuple[int, dict[str, Any] | None] = (0, None)
    #: The process has received a stop signal and has not been started again.
    stopping: bool = False

    @property
    def readiness_port(self) -> int:
        """Return the port of the readiness endpoint."""
        return self.port + 1

    @property
    def peer_endpoint(self) -> str:
        """Return the address where peers request snapshots."""
        return f"{self.ip}:{self.port + 2}"

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "citronspring.platform"],
            env={**os.environ, "CITRONSPRING_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.start_count += 1
        self.paused = self.stopping = False

    def settings(self) -> dict[str, Any]:
        """Return the settings in the platform's format."""
        return {
            "node_name": self.name,
            "zone": self.zone,
            "listen_addrs": {
                "datagram_addr": f"{self.ip}:{self.port}",
                "ready": f"{self.ip}:{self.readiness_port}",
                "control": self.peer_endpoint,
            },
            "seeds": self.seeds,
            "bounds": BOUNDS,
            "platform": {"addr": f"127.0.0.1:{self.proxy.port}"},
        }

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.alive:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.alive:
            self.stopping = True
            self.process.kill()
            self.process.wait()

    def pause(self) -> None:
        """Suspend the process."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.paused = False
        self.signal(signal.SIGCONT)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def state(self) -> dict[str, Any] | None:
        """Return the state that the host reports, None if it does not answer."""
        url = f"http://{self.ip}:{self.readiness_port}/state"
        try:
            with urllib.request.urlopen(url, timeout=STATE_TIMEOUT) as answer:
                state: dict[str, Any] = json.loads(answer.read())
        except (OSError, ValueError):
            return None
        return state


class StatePoller:
    """Polls the state of hosts in a thread of its own.

    A request to a paused host blocks until its time-out. In the run's own event loop it
    would stall all callers and targets: they would answer openings late, and callers
    would seem to change targets.
    """

    def __init__(self, hosts: list[HostProcess]) -> None:
        self.hosts = hosts
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self) -> None:
        """Poll each host until stopped."""
        while not self.stopped.wait(CHECK_INTERVAL / 2):
            for host in self.hosts:
                start_count = host.start_count
                host.last_state = start_count, host.state()

    def stop(self) -> None:
        """Stop polling."""
        self.stopped.set()
        self.thread.join()
