"""A store with pages, history and backups, for hosts in virtual time."""

from __future__ import annotations

from citronspring.endpoints import Endpoint
from citronspring.tokens.entries import (
    Configuration,
    ReaderRemoved,
    Target,
    TargetRemoved,
    Unreadable,
    ZoneDrain,
    ZoneReader,
    count_of,
    ordered_revision,
    with_revision,
)
from citronspring.tokens.messages import Changes, HistoryLost, Page
from tests.test_tokens.driver import make_configuration, make_target

CONFIGURATION = "configuration/newest"

#: Difference between the start times of two starts; no two are the same.
CLOCK_STEP = 100_000


class StoreModel:
    """The entries of the store by key, and the history of their changes."""

    def __init__(self, page_size):
        self.page_size = page_size
        self.entries = {}
        self.revision = 10
        self.epoch = 0
        self.history = []
        self.compacted_revision = 10
        self.backup = None

    @property
    def ordered_revision(self):
        return ordered_revision(self.epoch, self.revision)

    def put(self, key, entry):
        """Write an entry; configurations keep the revision that operators gave them."""
        self.revision += 1
        if not isinstance(entry, Configuration):
            entry = with_revision(entry, self.ordered_revision)
        self.entries[key] = entry
        self.history.append((self.revision, entry))

    def delete(self, key):
        """Remove an entry."""
        self.revision += 1
        kind, name = key.split("/")
        revision = self.ordered_revision
        match kind:
            case "drains":
                removal = ZoneDrain(name, revision, ended=True)
            case "readers":
                removal = ReaderRemoved(name, revision)
            case "targets":
                removal = TargetRemoved(name, revision)
        del self.entries[key]
        self.history.append((self.revision, removal))

    def lose_history(self):
        """Discard the history, so that watches from before now end."""
        self.history.clear()
        self.compacted_revision = self.revision

    def take_backup(self):
        self.backup = dict(self.entries), self.revision

    def restore(self):
        """Return to the backup; revisions since then are used again."""
        entries, self.revision = self.backup
        self.epoch += 1
        self.entries = {
            key: entry
            if isinstance(entry, Configuration)
            else with_revision(
                entry, ordered_revision(self.epoch, count_of(entry.revision))
            )
            for key, entry in entries.items()
        }
        self.lose_history()

    def page(self, after_key):
        """Return the page of a list after a key."""
        keys = sorted(key for key in self.entries if key > after_key)
        found_keys = keys[: self.page_size]
        found = tuple(self.entries[key] for key in found_keys)
        next_key = found_keys[-1] if len(keys) > self.page_size else None
        return Page(found, self.ordered_revision, next_key)

    def changes_after(self, revision):
        """Return the answer to a watch; without changes, the watch goes on."""
        count = count_of(revision)
        if count < self.compacted_revision:
            return HistoryLost(self.epoch)
        found = [one for one in self.history if one[0] > count]
        if not found:
            return Changes((), None, self.epoch)
        last_revision = ordered_revision(self.epoch, found[-1][0])
        return Changes(tuple(change for _, change in found), last_revision, self.epoch)


class Writers:
    """Targets, operators and other programs that write to the store."""

    def __init__(self, store, draw, hosts):
        self.store = store
        self.draw = draw
        self.hosts = hosts
        self.configuration_revision = 0
        #: The last entry of each running target.
        self.running = {}
        self.targets = 0
        self.change_configuration()
        self.change_reader()
        for _ in range(8):
            self.start_target()

    def write(self):
        """Let a random writer change a random entry."""
        key = self.draw.choice(sorted(self.running))
        chance = self.draw.random()
        if chance < 0.05:
            self.change_configuration()
        elif chance < 0.1:
            self.toggle_drain()
        elif len(self.running) < 6 or (chance < 0.4 and len(self.running) < 14):
            self.start_target()
        elif chance < 0.45:
            self.start_again(key)
        elif chance < 0.6:
            self.leave(key)
        elif chance < 0.65:
            self.overwrite(key)
        else:
            self.stop(key)

    def start_target(self):
        """Start a target under an id of its own, so that nothing corrects its entry."""
        self.targets += 1
        self.publish(make_target(self.targets, started=10 * CLOCK_STEP))

    def start_again(self, key):
        """Let a target start again, perhaps with its clock set back."""
        target = self.running[key]
        self.targets += 1
        values = fields_of(target)
        step = self.draw.choice((CLOCK_STEP, CLOCK_STEP, -CLOCK_STEP))
        started = target.started + step + self.targets
        values.update(incarnation=self.targets, started=started, sequence=0)
        self.publish(Target(**values))

    def leave(self, key):
        """Let a target announce that it takes no new flows."""
        values = fields_of(self.running[key])
        values.update(leaving=True, sequence=values["sequence"] + 1)
        self.publish(Target(**values))

    def publish(self, target):
        key = f"targets/{target.target_id}"
        self.running[key] = target
        self.store.put(key, target)

    def stop(self, key):
        """Remove the entry of a target that has ended."""
        del self.running[key]
        if key in self.store.entries:
            self.store.delete(key)

    def overwrite(self, key):
        """Let another program replace the entry of a target, perhaps a later start."""
        target = self.running[key]
        started = target.started + self.draw.randrange(2)
        entry = Unreadable(target.target_id, "no service", 0, started)
        self.store.put(key, entry)

    def change_configuration(self):
        self.configuration_revision += 1
        routes = make_configuration().routes
        changed = make_configuration(
            self.configuration_revision,
            routes if self.configuration_revision % 2 else routes[::-1],
        )
        self.store.put(CONFIGURATION, changed)

    def toggle_drain(self):
        if "drains/south" in self.store.entries:
            self.store.delete("drains/south")
        else:
            self.store.put("drains/south", ZoneDrain("south", 0))

    def change_reader(self):
        """Let another host, or none, be the reader of the zone."""
        if "readers/north" in self.store.entries and self.draw.random() < 0.3:
            self.store.delete("readers/north")
            return
        self.name_reader(self.draw.choice(self.hosts))

    def name_reader(self, name):
        """Register a host as the reader of the zone."""
        reader = ZoneReader("north", name, Endpoint(name, 1), 0)
        self.store.put("readers/north", reader)

    def repair(self):
        """Write again what a restore has lost, or another program replaced.

        Targets and operators do this; the entries of targets that have ended go with
        their leases.
        """
        entries = self.store.entries
        if entries[CONFIGURATION].revision < self.configuration_revision:
            self.change_configuration()
        for key in [key for key in entries if key.startswith("targets/")]:
            if key not in self.running:
                self.store.delete(key)
        for key, target in self.running.items():
            if not is_same_state(entries.get(key), target):
                self.store.put(key, target)


def fields_of(target):
    return {name: getattr(target, name) for name in target.__match_args__}


def is_same_state(entry, target):
    """Whether an entry is what a target has published last."""
    if not isinstance(entry, Target):
        return False
    known = entry.incarnation, entry.sequence
    return known == (target.incarnation, target.sequence)
