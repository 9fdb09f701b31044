"""Commit changes to the configuration, and read it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread

from citronspring.configuration.changes import (
    change_id_revision,
    check_change,
    make_change_id,
)
from citronspring.configuration.moves import (
    blocking_releases,
    newly_taken_addresses,
    refuse_unconfirmed,
    refuse_used,
)
from citronspring.configuration.plan import (
    conflict_error,
    last_changed_revision,
    plan,
    require_entry,
    require_template,
)
from citronspring.configuration.prepare import prepare
from citronspring.configuration.reader import CatalogReader
from citronspring.configuration.shards import HEAD_KEY, shard_key, shard_of
from citronspring.configuration.writing import (
    WRITE_ATTEMPTS,
    restore_lost_changes,
    write_shard,
)
from citronspring.configuration.zones import ZoneConfirmations
from citronspring.errors import (
    ChangesLostError,
    CitronspringError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SettingsError,
    VersionMismatchError,
)
from citronspring.tokens.entries import epoch_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.configuration.catalog import Catalog
    from citronspring.configuration.changes import AnyChange
    from citronspring.configuration.plan import Draft
    from citronspring.configuration.prepare import PreparedCommit
    from citronspring.configuration.runner import Runner
    from citronspring.configuration.shards import (
        AccountEntry,
        AddressRelease,
        Head,
        TemplateEntry,
    )
    from citronspring.entities import ChangeRecord, Snapshot
    from citronspring.key_value.port import Platform

#: Number of attempts for a commit when other operators commit concurrently.
REBASE_ATTEMPTS = 16

#: Seconds in which a process notices that its changes are lost, and rewrites them.
#: Hosts read at once when their watch fails, and after 8 s at the latest.
RESTORE_GRACE_SECONDS = 10.0

#: Number of releases in a shard above which a commit removes confirmed ones.
RELEASES_KEPT = 64


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of an accepted change."""

    #: Last revision of the commit.
    revision: int


@dataclass(slots=True)
class Attempt:
    """State of a commit that is kept across retries on newer heads."""

    #: Last revision of the account or template when the commit started.
    start_revision: int
    #: Digests of values written for heads that were never committed.
    orphans: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ConfigurationStore:
    """The configuration in the platform, as seen by one process."""

    platform: Platform
    #: Zones that the settings list.
    zones: frozenset[str]
    reader: CatalogReader
    confirmations: ZoneConfirmations
    #: Runs the computation of changes. In the event loop, a change of a template with
    #: thousands of accounts would block all packets for seconds.
    run: Runner
    #: Time until which other processes may rewrite lost changes, by platform epoch.
    restore_grace_deadlines: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_platform(
        cls,
        platform: Platform,
        zones: Iterable[str],
        run: Runner = anyio.to_thread.run_sync,
    ) -> ConfigurationStore:
        """Return a store that has not read anything yet.

        Parameters
        ----------
        platform : Platform
            The key-value service.
        zones : iterable of str
            The listed zones. Accounts may use no other ones, and addresses move
            only after all of them have confirmed it.
        run : callable
            Runs long computations; :func:`run_in_place` needs no event loop.

        Raises
        ------
        SettingsError
            If no zone is listed; addresses would then move without confirmation.
        """
        listed = frozenset(zones)
        if not listed:
            raise SettingsError("no zones are listed", "list every availability zone")
        reader = CatalogReader(platform)
        confirmations = ZoneConfirmations(platform)
        return cls(platform, listed, reader, confirmations, run)

    def new_change_id(self, token: str) -> str:
        """Return a change id with the newest known revision."""
        return make_change_id(self.reader.head.revision, token)

    async def commit(self, change: AnyChange, now: float) -> Committed:
        """Commit a change; idempotent by its change id.

        Parameters
        ----------
        change : Change
            The change. A retry after a failure must have the same change id.
        now : float
            Time at which the retention of removed targets starts.

        Returns
        -------
        Committed
            Also if an earlier call with this change id has committed the change.

        Raises
        ------
        ConfigurationError, NotFoundError, MoveRefusedError, ConflictError
            The change is refused; this call changed nothing.
        PlatformUnavailableError
            The change is not accepted; this call changed nothing.
        OutcomeUnknownError
            The change may be committed; retry it with the same change id.
        """
        check_change(change)
        try:
            await self.refresh()
            catalog = await self.reader.read_catalog()
        except PlatformUnavailableError as error:
            raise not_accepted_error(error) from error
        attempt = Attempt(last_changed_revision(catalog, change))
        committed = self.find_committed(catalog.head, change)
        if committed is not None:
            return committed
        self.refuse_during_restore_grace(catalog, now)
        for _ in range(REBASE_ATTEMPTS):
            if last_changed_revision(catalog, change) != attempt.start_revision:
                raise conflict_error(catalog, change)
            prepared = await self.prepare(catalog, change, attempt, now)
            if await self.swap_head(prepared, change):
                await self.delete_expired_shards(prepared)
                return Committed(prepared.catalog.head.revision)
            committed = self.find_committed(self.reader.head, change)
            if committed is not None:
                return committed
            catalog = await self.next_catalog()
        raise not_accepted_error("too many concurrent commits by other operators")

    async def refresh(self) -> Head:
        """Read the head; rewrite changes that the platform has lost.

        Raises ChangesLostError if this process cannot rewrite them.
        """
        try:
            return await self.reader.refresh()
        except ChangesLostError:
            if not await restore_lost_changes(self.reader):
                raise
        return self.reader.head

    def refuse_during_restore_grace(self, catalog: Catalog, now: float) -> None:
        """Refuse a commit while other processes may rewrite lost changes.

        After a restore from a backup, the first commit ends the restore grace period:
        diverged histories are not merged, so that lost changes can no longer be
        rewritten.
        """
        epoch = epoch_of(catalog.version)
        if catalog.head.epoch == epoch:
            return
        deadline = self.restore_grace_deadlines.setdefault(
            epoch, now + RESTORE_GRACE_SECONDS
        )
        if now < deadline:
            raise not_accepted_error(
                "the platform was restored from a backup, and lost changes may still "
                f"be rewritten for {deadline - now:.0f} s"
            )

    def find_committed(self, head: Head, change: AnyChange) -> Committed | None:
        """Return the result of an earlier commit of a change, None if there was none.

        The head records only some hundred change ids. A change whose id is older than
        these may have been committed already. It is refused, because committing it
        could apply it twice.
        """
        known = head.find_change(change.change_id)
        if known is not None:
            return Committed(known.revision)
        seen = change_id_revision(change.change_id)
        if seen > head.revision:
            raise not_accepted_error(
                f"revision {seen} of the change id is not known to this process"
            )
        if seen < head.changes_floor:
            raise OutcomeUnknownError(
                f"change {change.change_id} was made at revision {seen}; changes up "
                f"to revision {head.changes_floor} are no longer recorded",
                "read the history, and submit the change under a new id if missing",
            )
        return None

    async def prepare(
        self, catalog: Catalog, change: AnyChange, attempt: Attempt, now: float
    ) -> PreparedCommit:
        """Check a change against a catalog, and write its shards."""
        draft = await self.run(plan, catalog, change, self.zones, now)
        try:
            confirmed = await self.check_moves(draft)
            orphans = tuple(attempt.orphans)
            prepared = await self.run(prepare, draft, orphans, confirmed)
            for digest, value in prepared.values.items():
                await write_shard(self.platform, digest, value)
                attempt.orphans.append(digest)
        except PlatformUnavailableError as error:
            raise not_accepted_error(error) from error
        return prepared

    async def check_moves(self, draft: Draft) -> dict[str, int]:
        """Refuse addresses of other accounts; return the confirmed revisions by zone.

        Confirmations are read only if the draft adds an address that was removed from
        another account, or if releases should be cleaned up.
        """
        blocking = await self.run(find_blocking_releases, draft)
        if not blocking and not has_many_releases(draft):
            return {}
        zones = self.zones | zones_of(draft.catalog)
        confirmed = await self.confirmations.read(zones)
        refuse_unconfirmed(blocking, confirmed)
        return confirmed

    async def swap_head(self, prepared: PreparedCommit, change: AnyChange) -> bool:
        """Compare-and-swap the head; return False if its version has changed.

        If the response is lost, the same swap is sent again. If the first one took
        effect, the second fails on the version, and the change id in the head shows
        whose commit it is. If it did not, the second may take effect; the first then
        fails on the version should it still arrive.
        """
        base = prepared.catalog.version
        uncertain = False
        for _ in range(WRITE_ATTEMPTS):
            try:
                version = await self.platform.put(HEAD_KEY, prepared.head_value, base)
            except VersionMismatchError:
                await self.read_replacing_head(base, change, uncertain)
                return False
            except OutcomeUnknownError:
                uncertain = True
            except PlatformUnavailableError as error:
                if not uncertain:
                    raise not_accepted_error(error) from error
            else:
                self.reader.update_catalog(replace(prepared.catalog, version=version))
                return True
        raise outcome_unknown_error(change)

    async def read_replacing_head(
        self, base: int, change: AnyChange, uncertain: bool
    ) -> None:
        """Read the head that replaced ``base``, which may be this commit's own."""
        try:
            await self.reader.refresh_past(base)
        except CitronspringError as error:
            if uncertain:
                raise outcome_unknown_error(change) from error
            raise not_accepted_error(error) from error

    async def next_catalog(self) -> Catalog:
        """Read the catalog of the newest head."""
        try:
            return await self.reader.read_catalog()
        except PlatformUnavailableError as error:
            raise not_accepted_error(error) from error

    async def delete_expired_shards(self, prepared: PreparedCommit) -> None:
        """Delete shards that are no longer in use; failures only waste space."""
        for digest in prepared.expired_digests:
            try:
                await self.platform.delete(shard_key(digest))
            except (OutcomeUnknownError, PlatformUnavailableError):
                return

    async def read_snapshot(self) -> Snapshot:
        """Read all accounts; the revision is never lower than that of an earlier read.

        The definitions are not kept in memory; only commits need them.
        """
        await self.refresh()
        return (await self.reader.read_catalog(keep=False)).snapshot()

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Read the change records above a revision, oldest first.

        Each revision has one record; that of a change that affects no account has an
        empty account id and no account. Returns None if some of the records are no
        longer available; the caller then has to read the snapshot.
        """
        head = await self.refresh()
        if after_revision < head.records_floor:
            return None
        return tuple(r for r in head.records if r.revision > after_revision)

    async def watch_head(self, after_revision: int) -> int:
        """Wait for a revision above ``after_revision``, and return it."""
        return await self.reader.watch(after_revision)

    async def read_catalog(self) -> Catalog:
        """Read all definitions, rendered accounts and histories."""
        await self.refresh()
        return await self.reader.read_catalog()

    async def read_account(self, account_id: str) -> AccountEntry:
        """Read an account with its history; raise NotFoundError if there is none."""
        return require_entry(await self.read_catalog(), account_id)

    async def read_template(self, name: str) -> TemplateEntry:
        """Read a template with its history; raise NotFoundError if there is none."""
        return require_template(await self.read_catalog(), name)

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Record that all hosts of a zone have reached ``revision``.

        Returns the revision that the zone has confirmed; it never decreases.
        """
        return await self.confirmations.confirm(zone, revision)


def find_blocking_releases(draft: Draft) -> list[AddressRelease]:
    """Return the releases of the addresses that a draft adds.

    Raises MoveRefusedError if another account still has one of the addresses.
    """
    catalog = draft.catalog
    taken = newly_taken_addresses(catalog, draft.changed_entries)
    refuse_used(catalog, draft.changed_entries, taken)
    return blocking_releases(taken, catalog.releases())


def has_many_releases(draft: Draft) -> bool:
    """Whether a changed shard has so many releases that they should be cleaned up."""
    shards = draft.catalog.shards
    indexes = {
        shard_of(account_id, len(shards)) for account_id in draft.changed_entries
    }
    return any(len(shards[index].releases) > RELEASES_KEPT for index in indexes)


def zones_of(catalog: Catalog) -> frozenset[str]:
    """Return the zones that accounts use."""
    zones: set[str] = set()
    for _, entry in catalog.entries():
        zones.update(entry.rendered.account.zones)
    return frozenset(zones)


def not_accepted_error(cause: object) -> PlatformUnavailableError:
    """Return the error for a change that this call did not commit."""
    return PlatformUnavailableError(
        f"not accepted, this call changed nothing: {cause}",
        "send it again with the same change id",
    )


def outcome_unknown_error(change: AnyChange) -> OutcomeUnknownError:
    """Return the error for a change that may have been committed."""
    return OutcomeUnknownError(
        f"it is unknown whether change {change.change_id} was committed",
        "send it again with the same change id; it is never committed twice",
    )
