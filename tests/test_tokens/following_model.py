"""Hosts of a zone follow one another over a store, in virtual time, under faults.

Run by hand with ``python -m tests.test_tokens.following_model --seeds=10000``.
"""

from __future__ import annotations

import argparse
from random import Random

from citronspring.light_stdlib import INFINITY
from citronspring.tokens.balancer import TokenBalancer
from citronspring.tokens.change_feed import FeedPoll, decode_feed
from citronspring.tokens.entries import Target, ZoneDrain
from citronspring.tokens.messages import (
    Changes,
    FollowReader,
    ListEntries,
    ReadPeer,
    Unanswered,
    WatchEntries,
)
from citronspring.tokens.peer_snapshot import decode_snapshot
from citronspring.tokens.times import ReaderTimes
from tests.test_tokens.driver import BOUND, SETTLING
from tests.test_tokens.store_model import CONFIGURATION, StoreModel, Writers

HOSTS = ("host-1", "host-2", "host-3")
TIMES = ReaderTimes.from_bounds(BOUND, SETTLING)

#: Seconds of a step, of the faults, and of the calm after them.
STEP = 0.02
TROUBLE = 30.0
CALM = 25.0


class HostModel:
    """One host: its core, and its call under way."""

    def __init__(self, zone, name):
        self.zone = zone
        self.name = name
        #: Until when it reaches neither the store, nor other hosts, nor runs at all.
        self.cut_from = 0.0
        self.cut_until = 0.0
        self.alone_until = 0.0
        self.down_until = 0.0
        self.start()

    def start(self):
        """Start the process, which knows nothing."""
        self.core = TokenBalancer.from_config(
            self.name, "north", TIMES, peers=len(HOSTS) - 1
        )
        self.call = None

    def step(self, now):
        """Go on with the call under way, or make the next one."""
        if now < self.down_until:
            return
        if self.core.next_deadline(now) <= now:
            self.core.tick(now)
        if self.call is None:
            self.call = self.core.next_call(now)
            if self.call is None:
                return
            self.sent_at = now
            self.deadline = self.core.answer_deadline(self.call, now)
            self.arrives_at = now + self.zone.latency()
            self.answer = None
        if self.answer is None and now >= self.arrives_at:
            self.answer = self.ask(now)
            self.answered_at = now + self.zone.latency()
        if self.answer is not None and now >= self.answered_at:
            self.finish(self.answer, now)
        elif now >= self.deadline:
            self.finish(Unanswered("no answer in time"), now)

    def finish(self, answer, now):
        call, self.call = self.call, None
        self.core.handle_store_answer(call, answer, self.sent_at, now)

    def ask(self, now):
        """Return the answer to the call; None as long as it has to wait."""
        match self.call:
            case FollowReader(endpoint, revision, wait):
                poll = FeedPoll(revision, self.arrives_at, self.arrives_at + wait)
                found = self.peer(
                    endpoint.ip, now, lambda core: core.answer_poll(poll, now)
                )
                return decode_feed(*found) if isinstance(found, tuple) else found
            case ReadPeer(turn):
                others = [name for name in HOSTS if name != self.name]
                name = others[turn % len(others)]
                found = self.peer(name, now, lambda core: core.snapshot(now))
                return decode_snapshot(*found) if isinstance(found, tuple) else found
        if self.cut_from <= now < self.cut_until:
            return Unanswered("cut off")
        match self.call:
            case ListEntries(key):
                return self.zone.store.page(key)
            case WatchEntries(revision, wait):
                found = self.zone.store.changes_after(revision)
                nothing = isinstance(found, Changes) and not found.changes
                return None if nothing and now < self.arrives_at + wait else found

    def peer(self, name, now, request):
        """Return what another host answers."""
        host = self.zone.hosts[name]
        if now < max(host.down_until, self.alone_until):
            return Unanswered("refused")
        return request(host.core)

    def differences(self):
        """Return what this host knows otherwise than the store holds it."""
        tables = self.core.tables
        known = {
            row.target.target_id: (row.target.incarnation, row.target.leaving)
            for row in tables.targets.values()
            if row.gone_at == INFINITY
        }
        entries = self.zone.store.entries
        held = {
            entry.target_id: (entry.incarnation, entry.leaving)
            for entry in entries.values()
            if isinstance(entry, Target)
        }
        found = [
            f"{name}: {known.get(name)} in place of {held.get(name)}"
            for name in sorted(known.keys() | held.keys())
            if known.get(name) != held.get(name)
        ]
        drains = [one.zone for one in entries.values() if isinstance(one, ZoneDrain)]
        if tables.drained_zones != drains:
            found.append(f"drained: {tables.drained_zones} in place of {drains}")
        if tables.configuration != entries[CONFIGURATION].revision:
            found.append(f"configuration {tables.configuration}")
        return [f"{self.name}: {one}" for one in found]


class ZoneModel:
    """The hosts of a zone, the store, and what befalls them."""

    def __init__(self, seed):
        self.draw = Random(seed)
        self.store = StoreModel(page_size=self.draw.choice((1, 3)))
        self.writers = Writers(self.store, self.draw, HOSTS)
        self.hosts = {name: HostModel(self, name) for name in HOSTS}
        self.slow_until = 0.0
        #: Faults of which the time is known, as (time, function).
        self.planned = []
        self.write_interval = self.draw.choice((0.04, 0.15, 0.4))
        self.fault_interval = self.draw.choice((0.3, 1.0))
        self.usual_latency = self.draw.choice((0.04, 0.2))
        self.restores = self.draw.random() < 0.3
        self.now = 0.0

    def latency(self):
        """Return the seconds that a message takes; some come late or never."""
        if self.now < self.slow_until:
            return self.draw.choice((0.05, 0.4, 1.0, INFINITY))
        return self.draw.random() * self.usual_latency

    def run(self):
        """Play the faults and the calm after them; return the differences."""
        write_at = fault_at = 2.0
        while self.now < TROUBLE + CALM:
            if write_at <= self.now < TROUBLE:
                self.writers.write()
                write_at += self.draw.expovariate(1 / self.write_interval)
            if fault_at <= self.now < TROUBLE:
                self.disturb(self.hosts[self.draw.choice(HOSTS)])
                fault_at += self.draw.expovariate(1 / self.fault_interval)
            self.run_planned()
            if TROUBLE <= self.now < TROUBLE + STEP:
                self.writers.repair()
            for host in self.hosts.values():
                host.step(self.now)
            self.now += STEP
        return [line for host in self.hosts.values() for line in host.differences()]

    def run_planned(self):
        due = [action for at, action in self.planned if at <= self.now]
        self.planned = [one for one in self.planned if one[0] > self.now]
        for action in due:
            action()

    def cut(self, host, since, until):
        """Cut a host off from the store."""
        host.cut_from, host.cut_until = since, until

    def cut_all(self, until):
        """Cut off all hosts, at once or one after the other."""
        hosts = list(self.hosts.values())
        self.draw.shuffle(hosts)
        length = until - self.now
        delay = self.draw.choice((0.0, 0.5, 0.9)) * length
        for number, host in enumerate(hosts):
            since = self.now + number * delay
            self.cut(host, since, since + length)
        self.planned.append((until, self.store.lose_history))

    def overlap(self, host):
        """Let a reader lose the history while another host reads the store itself.

        That one is cut off before the reader lists the store, and follows it then, or
        the next reader.
        """
        now, draw = self.now, self.draw.uniform
        readers = [self.hosts[one] for one in HOSTS if one != host.name]
        reader, next_reader = self.draw.sample(readers, 2)
        self.writers.name_reader(reader.name)
        since = now + draw(0.5, 2.0)
        until = since + draw(0.3, 1.9)
        self.cut(reader, since, until)
        self.planned.append((until, self.store.lose_history))
        self.cut(host, now + draw(0.5, 3.0), until + draw(0.5, 4.0))
        if self.draw.random() < 0.5:
            host.start()
        else:
            host.alone_until = host.cut_from
        if self.draw.random() < 0.5:
            name = next_reader.name
            at = now + draw(0.5, 3.0)
            self.planned.append((at, lambda: self.writers.name_reader(name)))

    def disturb(self, host):
        """Let a random fault happen."""
        until = self.now + self.draw.choice((0.1, 0.3, 1.0, 4.0))
        chance = self.draw.random()
        if chance < 0.2:
            host.start()
            host.down_until = until
        elif chance < 0.3:
            self.cut(host, self.now, until)
        elif chance < 0.4:
            self.cut_all(until)
        elif chance < 0.55:
            self.overlap(host)
        elif chance < 0.65:
            host.alone_until = until
        elif chance < 0.8:
            self.writers.change_reader()
        elif chance < 0.85:
            self.store.lose_history()
        elif chance < 0.93 or not self.restores:
            self.slow_until = until
        elif self.store.backup is None:
            self.store.take_backup()
        else:
            self.store.restore()


def main():
    """Print the seeds after which a host differs from the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    broken = 0
    for seed in seeds:
        found = ZoneModel(seed).run()
        broken += bool(found)
        for line in found:
            print(f"seed {seed}: {line}")
    print(f"{len(seeds)} seeds, {broken} with differences")


if __name__ == "__main__":
    main()
