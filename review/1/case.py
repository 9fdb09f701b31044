"""Another writer puts an entry under the prefix of the servers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from standins import Client, Flow, Server, World, run_case  # noqa: E402

#: Seconds of traffic before the entry is written, and after it.
BEFORE, AFTER = 4.0, 12.0

#: Callers, each with one flow a request.
CALLERS = 20

#: By the rules, a fault: processes of a tenth of the machines in use, two at least, end
#: by themselves three times in the day.
MACHINES, ENDS = 2, 3


class Case:
    """The case."""

    def make(self):
        """Return the world: three hosts in two zones, four servers, one client."""
        world = World(Path(__file__).parent)
        net = world.net
        hosts = [f"{net}.{10 + n}" for n in range(3)]
        world.find_ports([*hosts, *(f"{net}.{n}" for n in (50, 60, 61, 62, 63))])
        for n, ip in enumerate(hosts):
            zone = ("qld-coast-a", "qld-coast-b")[n % 2]
            world.platform.add(f"frontend-{zone}-{n + 1}", zone, ip)
        world.servers = [
            Server(
                world,
                f"i-7f3a91{n:02x}",
                "feedhub",
                ("qld-coast-a", "qld-coast-b")[n % 2],
                f"{net}.{60 + n}",
            )
            for n in range(4)
        ]
        world.clients = [Client(world, f"{net}.50")]
        return world

    async def play(self, world, trouble):
        """Play the case; return what was broken."""
        route = (f"{world.net}.200", 8443)
        world.configure(7, [("wave-stream", route, "idempotent", "feedhub")])
        await world.start(world.servers)
        if not await world.platform.until_ready():
            raise RuntimeError("the hosts did not become ready")
        self.stop = False
        self.port = 40_000
        callers = [
            asyncio.create_task(self.call(world, world.clients[0], n, route))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(BEFORE)
        before = dict(world.ends)
        if trouble:
            self.write_foreign_entry(world)
        await asyncio.sleep(AFTER)
        self.stop = True
        await asyncio.gather(*callers)
        ended = {one.name: one.own_ends for one in world.platform.hosts}
        world.record.write("own-ends", **ended)
        world.record.write("requests-before", **before)
        for host in world.platform.hosts:
            if host.own_ends:
                line = world.platform.tail(host, 1)
                world.record.write("last-line", host=host.name, line=line)
        if sum(count >= ENDS for count in ended.values()) < MACHINES:
            return []
        return [f"Fault: processes ended by themselves, with no disturbance: {ended}"]

    def write_foreign_entry(self, world):
        """Write an entry of another writer.

        Its service is not named in the configuration, so it names no server to use, and
        one field is a number that no integer type of a wire format holds.
        """
        entry = {
            "service": "inventory",
            "addr": f"{world.net}.90:{world.port}",
            "zone": "qld-coast-a",
            "version": "v1",
            "concurrency": 10**400,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
        }
        world.store.put("servers/i-00c0ffee", entry)
        world.record.write("foreign-entry", key="servers/i-00c0ffee")

    async def call(self, world, client, number, route):
        """Send one request after the other, each on a flow of its own."""
        count = 0
        await asyncio.sleep(number * 0.02)
        while not self.stop:
            count += 1
            self.port += 1
            name = f"{number}-{count}"
            flow = Flow(client, self.port, route)
            opened = await flow.open()
            outcome = await flow.request(name) if opened else "not-opened"
            world.note_end(name, outcome)
            await flow.close()
            await asyncio.sleep(0.3)


if __name__ == "__main__":
    sys.exit(run_case(Case()))
