"""Hosts that follow one another hold what the store holds, whatever happened before."""

from __future__ import annotations

import pytest

from citronspring.tokens import (
    balancer,
    entry_updates,
    following,
    restarts,
    restore_grace,
    snapshot_updates,
    store_reader,
)
from tests.test_tokens import test_feed_consistency as paths
from tests.test_tokens.following_model import ZoneModel

SEEDS = range(60)

#: Seeds that bring a follower into a gap of its reader's log.
KEPT_SEEDS = (576, 1070, 1413)


@pytest.mark.parametrize("seed", (*SEEDS, *KEPT_SEEDS))
def test_hosts_hold_what_the_store_holds(seed):
    assert ZoneModel(seed).run() == []


def dump_targets(tables):
    """Return what a change may change, for comparison."""
    rows = [(row.target.revision, row.gone_at) for row in tables.targets.values()]
    return rows, tables.configuration, tables.drained_zones


def log_only_own_changes(patch):
    def apply_own(tables, change, *arguments):
        pending = tables.change_log.pending
        logged, known = len(pending), dump_targets(tables)
        entry_updates.apply_and_log(tables, change, *arguments)
        if dump_targets(tables) == known:
            del pending[logged:]

    for module in (store_reader, following):
        patch(module, "apply_and_log", apply_own)


def ignore_gaps(patch):
    for module in (store_reader, following):
        patch(module, "log_gap", lambda tables, revision: None)


def ignore_gaps_of_the_reader(patch):
    patch(following, "log_gap", lambda tables, revision: None)


def take_lists_for_consistent(patch):
    handle_page = store_reader.handle_page

    def handle(tables, *arguments):
        handle_page(tables, *arguments)
        tables.reader.consistent = tables.reader.listed

    patch(store_reader, "handle_page", handle)


def serve_while_inconsistent(patch):
    answer_poll = balancer.answer_poll

    def answer(tables, *arguments):
        consistent, tables.reader.consistent = tables.reader.consistent, True
        found = answer_poll(tables, *arguments)
        tables.reader.consistent = consistent
        return found

    patch(balancer, "answer_poll", answer)


def advance_while_inconsistent(patch):
    advance = following.advance_by_feed

    def advance_always(tables, *arguments):
        tables.reader.consistent = True
        advance(tables, *arguments)

    patch(following, "advance_by_feed", advance_always)


def keep_consistent_without_a_configuration(patch):
    apply_feed = following.apply_feed

    def apply(tables, *arguments):
        consistent = tables.reader.consistent
        apply_feed(tables, *arguments)
        tables.reader.consistent = consistent

    patch(store_reader, "apply_feed", apply)


def take_snapshots_for_consistent(patch):
    apply_snapshot = snapshot_updates.apply_snapshot

    def apply(tables, snapshot, *arguments):
        known = tables.reader.revision
        apply_snapshot(tables, snapshot, *arguments)
        tables.reader.revision = max(known, snapshot.revision)
        tables.reader.consistent = tables.reader.listed = True

    patch(snapshot_updates, "apply_snapshot", apply)


def hand_on_expired_entries(patch):
    remove_target = restore_grace.remove_target

    def remove(tables, removed, *arguments):
        tables.change_log.pending.append(removed)
        return remove_target(tables, removed, *arguments)

    patch(restore_grace, "remove_target", remove)


def forget_ignored_entries(patch):
    patch(entry_updates, "note_ignored", lambda *arguments: None)


def ignore_earlier_starts(patch):
    patch(restarts, "note_earlier_start", lambda *arguments: None)


#: Mutants, each with a seed after which hosts differ from the store.
MODEL_MUTANTS = [
    (log_only_own_changes, 11),
    (ignore_gaps, 576),
    (ignore_earlier_starts, 0),
]


@pytest.mark.parametrize(
    ("mutant", "seed"), MODEL_MUTANTS, ids=lambda value: getattr(value, "__name__", "")
)
def test_model_detects(mutant, seed, monkeypatch):
    mutant(monkeypatch.setattr)
    assert ZoneModel(seed).run() != []


#: Mutants that need a rarer order of events, each with the test of that order.
PATH_MUTANTS = [
    (
        ignore_gaps_of_the_reader,
        paths.test_new_zone_reader_knows_the_gaps_of_the_former_one,
    ),
    (
        take_lists_for_consistent,
        paths.test_inconsistent_host_reads_the_store_before_it_follows,
    ),
    (serve_while_inconsistent, paths.test_change_during_the_first_list_is_served),
    (
        advance_while_inconsistent,
        paths.test_inconsistent_host_keeps_its_revision_while_it_follows,
    ),
    (
        keep_consistent_without_a_configuration,
        paths.test_missing_configuration_leaves_a_host_inconsistent,
    ),
    (
        take_snapshots_for_consistent,
        paths.test_history_is_read_from_an_older_snapshot_on,
    ),
    (hand_on_expired_entries, paths.test_expired_entry_is_not_taken_from_followers),
    (forget_ignored_entries, paths.test_removal_of_an_unreadable_entry_is_served),
]


@pytest.mark.parametrize(
    ("mutant", "test"),
    PATH_MUTANTS,
    ids=[mutant.__name__ for mutant, _ in PATH_MUTANTS],
)
def test_path_detects(mutant, test, monkeypatch):
    mutant(monkeypatch.setattr)
    with pytest.raises((AssertionError, ValueError)):
        test()
