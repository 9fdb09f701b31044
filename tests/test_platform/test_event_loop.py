"""Tests of a host's event loop, as a process."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

from citronspring.daemons.token_host import BATCH
from citronspring.tokens.flows import SWEEP_INTERVAL
from tests.test_platform.process import COPIES, eventually

#: Seconds of a pause that is shorter than a stall.
SHORT_PAUSE = 0.05

#: Largest share of a processor that an idle host may use.
MAX_IDLE_SHARE = 0.15


def processor_seconds(host):
    """Return the processor time that a host's process has used."""
    text = Path(f"/proc/{host.process.pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def test_timers_run_after_a_batch_that_empties_the_socket(serving):
    """As many datagrams as the host reads at once wait, and then none comes.

    Its timers stood still until the next packet, and it used a whole processor.
    """
    serving.process.send_signal(signal.SIGSTOP)
    for _ in range(BATCH):
        serving.send(b"malformed")
    time.sleep(SHORT_PAUSE)
    serving.process.send_signal(signal.SIGCONT)
    time.sleep(SWEEP_INTERVAL)
    before = processor_seconds(serving)
    time.sleep(SWEEP_INTERVAL)
    assert processor_seconds(serving) - before < MAX_IDLE_SHARE * SWEEP_INTERVAL
    assert f'malformed"}} {BATCH}' in serving.get("/metrics")[1]


def test_settings_that_lose_all_peers_do_not_end_a_starting_host(host):
    """A host without a configuration asks peers, and a reload takes them away."""
    host.process.kill()
    host.process.wait()
    host.store.outage_status = 503
    host.seeds = [f"{host.ip[:-1]}9:{COPIES}"]
    host.start(host.store_port)
    eventually(lambda: len(host.logged("store-lost")))
    host.seeds = []
    host.write_settings(host.store_port)
    host.process.send_signal(signal.SIGHUP)
    eventually(lambda: host.logged("settings-read"))
    calls = len(host.store.calls)
    eventually(lambda: len(host.store.calls) > calls + 2)
    host.store.outage_status = None
    host.configure()
    assert eventually(lambda: host.status() == 200)
