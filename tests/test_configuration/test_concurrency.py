"""Concurrent operators over a failing platform, against a simple model."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from citronspring.configuration import prepare as prepare_module
from citronspring.configuration.addresses import addresses_of
from citronspring.configuration.changes import DeleteAccount
from citronspring.configuration.shards import HEAD_KEY
from citronspring.configuration.store import Committed
from citronspring.configuration.zones import zone_key
from citronspring.entities import Account
from citronspring.errors import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from citronspring.standins.memory import Switches
from tests.test_configuration.stepping import (
    ZONES,
    SteppedCall,
    call,
    head_of,
    make_platform,
    make_store,
    put,
)

ACCOUNTS = ("archivio", "bundelpers")

#: More than accounts, so that addresses move between them.
ADDRESSES = ("192.0.2.1", "192.0.2.2", "192.0.2.3")

PROCESSES = 3

NOTHING = Account("")

#: What can happen to a swap of the head; an outage begins after it.
FAULTS = [
    Switches(),
    Switches(lost_answers=1),
    Switches(lost_answers=1, outage=True),
    Switches(lost_answers=1, stale_reads=4),
    Switches(lost_answers=1, stale_reads=100),
    Switches(lost_requests=1),
    Switches(lost_requests=1, outage=True),
    Switches(lost_requests=3),
    Switches(stale_reads=9),
]


class ConcurrencyMachine(RuleBasedStateMachine):
    """Operators send, repeat and interleave changes; the platform misbehaves.

    The model is the list of heads the platform ever held, read straight from
    its memory at each step. Against it: revisions only rise, by one record
    each; a change id is committed at most once; an address goes to another
    account only after every zone confirmed that it left; what operators and
    readers were told is true at the end.
    """

    @initialize()
    def start(self) -> None:
        self.retired_kept = prepare_module.RETIRED_KEPT
        prepare_module.RETIRED_KEPT = 2
        self.platform = make_platform()
        self.stores = [make_store(self.platform) for _ in range(PROCESSES)]
        self.running: list[tuple[SteppedCall, object]] = []
        self.reading: list[SteppedCall] = []
        self.sent: list[object] = []
        self.outcomes: list[tuple[object, SteppedCall]] = []
        self.records: list = []
        self.known = [0] * PROCESSES
        #: Revision at which an address last left an account.
        self.left: dict[tuple[str, str], int] = {}
        #: Newest revision its account had when a call of a change first wrote.
        self.started_from: dict[str, int] = {}

    @rule(
        process=st.integers(0, PROCESSES - 1),
        account_id=st.sampled_from(ACCOUNTS),
        ip=st.sampled_from(ADDRESSES),
        limit=st.integers(0, 1000),
        careful=st.booleans(),
    )
    def send_change(self, process, account_id, ip, limit, careful):
        store = self.stores[process]
        token = f"c{len(self.sent)}"
        if limit == 0:
            change = DeleteAccount(
                change_id=store.new_change_id(token),
                author="anna",
                account_id=account_id,
            )
        else:
            entry = store.reader.catalog.entry(account_id)
            seen = entry.revision if entry else 0
            change = put(
                store.new_change_id(token),
                account_id,
                ip=ip,
                limit=limit,
                if_revision=seen if careful else None,
            )
        self.sent.append(change)
        self.run_change(store, change)

    @rule(data=st.data(), process=st.integers(0, PROCESSES - 1))
    def repeat_change(self, data, process):
        if self.sent:
            change = data.draw(st.sampled_from(self.sent))
            self.run_change(self.stores[process], change)

    def run_change(self, store, change):
        if len(self.running) < 4:
            self.running.append((SteppedCall(store.commit(change, 0.0)), change))

    @rule(data=st.data(), steps=st.integers(1, 6))
    def step(self, data, steps):
        if not self.running:
            return
        index = data.draw(st.integers(0, len(self.running) - 1))
        operator, change = self.running[index]
        for _ in range(steps):
            if operator.done:
                break
            self.advance(operator, change)
        if operator.done:
            del self.running[index]
            self.outcomes.append((change, operator))

    @rule(data=st.data(), fault=st.sampled_from(FAULTS))
    def swap(self, data, fault):
        """Run an operator up to its swap of the head and let that one fail."""
        if not self.running:
            return
        index = data.draw(st.integers(0, len(self.running) - 1))
        operator, change = self.running[index]
        self.run_to_swap(operator, change)
        if operator.done:
            return
        outage = self.platform.switches.outage
        self.platform.switches = replace(fault, outage=outage)
        self.advance(operator, change)
        self.platform.switches.outage = outage or fault.outage
        while fault.outage and not operator.done:
            self.advance(operator, change)

    @rule()
    def prepare_swaps(self):
        """Run all operators up to their swaps, so that one wins and others lose."""
        for operator, change in self.running:
            self.run_to_swap(operator, change)

    def run_to_swap(self, operator, change):
        while not operator.done and operator.next_call != ("put", HEAD_KEY):
            self.advance(operator, change)

    @rule(stale_reads=st.integers(0, 4), stale_by=st.integers(1, 3))
    def read_stale(self, **switches):
        outage = self.platform.switches.outage
        self.platform.switches = Switches(outage=outage, **switches)

    @rule(
        process=st.integers(0, PROCESSES - 1),
        zone=st.sampled_from(ZONES),
        behind=st.integers(0, 2),
    )
    def confirm(self, process, zone, behind):
        before = self.confirmed_by(zone)
        revision = max(0, len(self.records) - behind)
        with suppress(PlatformUnavailableError):
            confirmed = call(self.stores[process].confirm_zone(zone, revision))
            assert confirmed >= revision
        assert self.confirmed_by(zone) >= before

    @rule(outage=st.booleans())
    def outage(self, outage):
        self.platform.switches.outage = outage

    @rule(process=st.integers(0, PROCESSES - 1), stale_reads=st.integers(0, 2))
    def read(self, process, stale_reads):
        self.read_stale(stale_reads=stale_reads, stale_by=1)
        with suppress(PlatformUnavailableError):
            snapshot = call(self.stores[process].read_snapshot())
            assert snapshot.revision >= self.known[process]
            assert snapshot.accounts == self.accounts_at(snapshot.revision)
            self.known[process] = snapshot.revision

    @rule(process=st.integers(0, PROCESSES - 1))
    def start_slow_read(self, process):
        if len(self.reading) < 2:
            operator = SteppedCall(self.stores[process].read_snapshot())
            operator.step()
            self.reading.append(operator)

    @rule()
    def finish_slow_reads(self):
        while self.reading:
            operator = self.reading.pop().finish()
            if operator.error is None:
                snapshot = operator.result
                assert snapshot.accounts == self.accounts_at(snapshot.revision)

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart_process(self, process):
        self.stores[process] = make_store(self.platform)
        self.known[process] = 0

    def advance(self, operator, change):
        """Run one step and note what the commit can know when it writes first."""
        operator.step()
        self.watch_head()
        if operator.writing or operator.next_call[0] != "put":
            return
        operator.writing = True
        seen = self.started_from.get(change.change_id, 0)
        current = self.last_revision(change.account_id, len(self.records))
        self.started_from[change.change_id] = max(seen, current)

    def watch_head(self):
        """Add what the newest head brought to the model."""
        head = head_of(self.platform)
        known = len(self.records)
        fresh = [r for r in head.records if r.revision > known]
        assert [r.revision for r in fresh] == list(range(known + 1, head.revision + 1))
        for record in fresh:
            self.check_addresses(record)
            self.records.append(record)

    def check_addresses(self, record):
        """Compare what an account takes with the accounts before it."""
        accounts = {a.account_id: a for a in self.accounts_at(len(self.records))}
        before = addresses_of(accounts.pop(record.account_id, NOTHING))
        after = addresses_of(record.account or NOTHING)
        for account_id in ACCOUNTS:
            if account_id == record.account_id:
                continue
            assert not after & addresses_of(accounts.get(account_id, NOTHING))
            for address in after - before:
                assert self.confirmed() >= self.left.get((address, account_id), 0)
        for address in before - after:
            self.left[address, record.account_id] = record.revision

    def confirmed(self):
        """Return the revision that all zones have confirmed."""
        return min(self.confirmed_by(zone) for zone in ZONES)

    def confirmed_by(self, zone):
        versions = self.platform.values.get(zone_key(zone))
        return int(versions[-1].value) if versions else 0

    def accounts_at(self, revision):
        """Return the model's accounts at a revision."""
        accounts = {}
        for record in self.records[:revision]:
            accounts[record.account_id] = record.account
        found = [account for account in accounts.values() if account]
        return tuple(sorted(found, key=lambda account: account.account_id))

    def last_revision(self, account_id, up_to):
        """Return the last revision of an account in the first records."""
        revisions = [
            record.revision
            for record in self.records[:up_to]
            if record.account_id == account_id
        ]
        return max(revisions, default=0)

    @invariant()
    def no_change_is_lost_under_another(self):
        """Nobody changed the account between a call's first write and its commit."""
        for record in self.records[1:]:
            before = self.last_revision(record.account_id, record.revision - 1)
            assert before <= self.started_from[record.change_id]

    @invariant()
    def no_change_is_committed_twice(self):
        change_ids = [record.change_id for record in self.records]
        assert len(change_ids) == len(set(change_ids))

    def teardown(self):
        """Let everyone finish without faults and compare with what was told."""
        prepare_module.RETIRED_KEPT = self.retired_kept
        self.platform.switches = Switches()
        for operator, change in self.running:
            while not operator.done:
                self.advance(operator, change)
            self.outcomes.append((change, operator))
        self.no_change_is_lost_under_another()
        committed = {r.change_id: r.revision for r in self.records}
        for change, operator in self.outcomes:
            self.check_outcome(change, operator, committed)
        snapshot = call(make_store(self.platform).read_snapshot())
        assert snapshot.accounts == self.accounts_at(snapshot.revision)
        for change in self.sent:
            self.check_retry(change)

    def check_outcome(self, change, operator, committed):
        revision = committed.get(change.change_id)
        match operator.error:
            case None:
                assert operator.result == Committed(revision)
            case ConflictError() as error if error.change_id:
                assert error.change_id != change.change_id
                assert committed.get(error.change_id) == error.revision
            case OutcomeUnknownError():
                pass
            case _:
                calls = [o for c, o in self.outcomes if c == change]
                assert revision is None or len(calls) > 1

    def check_retry(self, change):
        """Send a change once more: committed ones keep their revision."""
        committed = {r.change_id: r.revision for r in self.records}
        operator = SteppedCall(make_store(self.platform).commit(change, 0.0))
        while not operator.done:
            self.advance(operator, change)
        assert not isinstance(operator.error, OutcomeUnknownError)
        if change.change_id in committed:
            assert operator.result == Committed(committed[change.change_id])
        self.no_change_is_committed_twice()


TestOperators = ConcurrencyMachine.TestCase
TestOperators.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=60,
)
