"""Compare concurrent commits on a failing platform with a simple model."""

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

#: More addresses than accounts, so that addresses move between accounts.
ADDRESSES = ("192.0.2.1", "192.0.2.2", "192.0.2.3")

PROCESSES = 3

NOTHING = Account("")

#: Faults of a head swap; an outage begins after the swap.
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
    """Operators send, retry and interleave changes, while the platform fails.

    The model is the list of records of all heads, read directly from the platform's
    memory after each step. Checked are: revisions only increase, with one record each;
    a change id is committed at most once; an address moves to another account only
    after every zone has confirmed its release; the results that operators and readers
    got are true.
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
        #: Revision at which an address was last removed from an account.
        self.left: dict[tuple[str, str], int] = {}
        #: By change id, the newest revision that the account had at the first write of
        #: any commit of the change.
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
        stepped_call, change = self.running[index]
        for _ in range(steps):
            if stepped_call.done:
                break
            self.advance(stepped_call, change)
        if stepped_call.done:
            del self.running[index]
            self.outcomes.append((change, stepped_call))

    @rule(data=st.data(), fault=st.sampled_from(FAULTS))
    def swap(self, data, fault):
        """Run a commit up to its head swap, and make the swap fail."""
        if not self.running:
            return
        index = data.draw(st.integers(0, len(self.running) - 1))
        stepped_call, change = self.running[index]
        self.run_to_swap(stepped_call, change)
        if stepped_call.done:
            return
        outage = self.platform.switches.outage
        self.platform.switches = replace(fault, outage=outage)
        self.advance(stepped_call, change)
        self.platform.switches.outage = outage or fault.outage
        while fault.outage and not stepped_call.done:
            self.advance(stepped_call, change)

    @rule()
    def prepare_swaps(self):
        """Run all commits up to their head swaps, so that only one can succeed."""
        for stepped_call, change in self.running:
            self.run_to_swap(stepped_call, change)

    def run_to_swap(self, stepped_call, change):
        while not stepped_call.done and stepped_call.next_call != ("put", HEAD_KEY):
            self.advance(stepped_call, change)

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
            stepped_call = SteppedCall(self.stores[process].read_snapshot())
            stepped_call.step()
            self.reading.append(stepped_call)

    @rule()
    def finish_slow_reads(self):
        while self.reading:
            stepped_call = self.reading.pop().finish()
            if stepped_call.error is None:
                snapshot = stepped_call.result
                assert snapshot.accounts == self.accounts_at(snapshot.revision)

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart_process(self, process):
        self.stores[process] = make_store(self.platform)
        self.known[process] = 0

    def advance(self, stepped_call, change):
        """Run one step; at the first write, record the account's current revision."""
        stepped_call.step()
        self.watch_head()
        if stepped_call.writing or stepped_call.next_call[0] != "put":
            return
        stepped_call.writing = True
        seen = self.started_from.get(change.change_id, 0)
        current = self.last_revision(change.account_id, len(self.records))
        self.started_from[change.change_id] = max(seen, current)

    def watch_head(self):
        """Add the records of the newest head to the model."""
        head = head_of(self.platform)
        known = len(self.records)
        fresh = [r for r in head.records if r.revision > known]
        assert [r.revision for r in fresh] == list(range(known + 1, head.revision + 1))
        for record in fresh:
            self.check_addresses(record)
            self.records.append(record)

    def check_addresses(self, record):
        """Check the addresses that a record adds against the other accounts."""
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
        """Return the last revision of an account among the first ``up_to`` records."""
        revisions = [
            record.revision
            for record in self.records[:up_to]
            if record.account_id == account_id
        ]
        return max(revisions, default=0)

    @invariant()
    def no_change_is_lost_under_another(self):
        """No other commit changed the account between first write and commit."""
        for record in self.records[1:]:
            before = self.last_revision(record.account_id, record.revision - 1)
            assert before <= self.started_from[record.change_id]

    @invariant()
    def no_change_is_committed_twice(self):
        change_ids = [record.change_id for record in self.records]
        assert len(change_ids) == len(set(change_ids))

    def teardown(self):
        """Finish all commits without faults, and check their results."""
        prepare_module.RETIRED_KEPT = self.retired_kept
        self.platform.switches = Switches()
        for stepped_call, change in self.running:
            while not stepped_call.done:
                self.advance(stepped_call, change)
            self.outcomes.append((change, stepped_call))
        self.no_change_is_lost_under_another()
        committed = {r.change_id: r.revision for r in self.records}
        for change, stepped_call in self.outcomes:
            self.check_outcome(change, stepped_call, committed)
        snapshot = call(make_store(self.platform).read_snapshot())
        assert snapshot.accounts == self.accounts_at(snapshot.revision)
        for change in self.sent:
            self.check_retry(change)

    def check_outcome(self, change, stepped_call, committed):
        revision = committed.get(change.change_id)
        match stepped_call.error:
            case None:
                assert stepped_call.result == Committed(revision)
            case ConflictError() as error if error.change_id:
                assert error.change_id != change.change_id
                assert committed.get(error.change_id) == error.revision
            case OutcomeUnknownError():
                pass
            case _:
                calls = [o for c, o in self.outcomes if c == change]
                assert revision is None or len(calls) > 1

    def check_retry(self, change):
        """Retry a change; a committed one must keep its revision."""
        committed = {r.change_id: r.revision for r in self.records}
        stepped_call = SteppedCall(make_store(self.platform).commit(change, 0.0))
        while not stepped_call.done:
            self.advance(stepped_call, change)
        assert not isinstance(stepped_call.error, OutcomeUnknownError)
        if change.change_id in committed:
            assert stepped_call.result == Committed(committed[change.change_id])
        self.no_change_is_committed_twice()


TestOperators = ConcurrencyMachine.TestCase
TestOperators.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=400,
    stateful_step_count=60,
)
