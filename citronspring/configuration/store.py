"""Commit changes to the configuration and read it."""

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

#: Heads of other operators on top of which one commit is tried again.
REBASE_ATTEMPTS = 16

#: Seconds in which a process notices that its changes are lost, and writes them again:
#: hosts read at once when they lose their watch, and after 8 s at the latest.
RESTORE_GRACE_SECONDS = 10.0

#: Releases in a shard above which a commit looks for confirmed ones.
RELEASES_KEPT = 64


@dataclass(frozen=True, slots=True)
class Committed:
    """A change is accepted and stays in force."""

    #: Last revision of the commit.
    revision: int


@dataclass(slots=True)
class Attempt:
    """What one commit remembers from one head to the next."""

    #: Revision that last touched the account or template when the commit started.
    start_revision: int
    #: Digests written for heads that never came.
    orphans: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ConfigurationStore:
    """The configuration in the platform, as one process sees it."""

    platform: Platform
    #: Zones the operators listed.
    zones: frozenset[str]
    reader: CatalogReader
    confirmations: ZoneConfirmations
    #: Where changes are worked out. In the event loop, a template of thousands
    #: of accounts would hold up every packet for seconds.
    run: Runner
    #: Until when others may write again, by epoch of the platform.
    restore_grace_deadlines: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_platform(
        cls,
        platform: Platform,
        zones: Iterable[str],
        run: Runner = anyio.to_thread.run_sync,
    ) -> ConfigurationStore:
        """Make a store that knows nothing yet.

        Parameters
        ----------
        platform : Platform
            The key-value service.
        zones : iterable of str
            The listed zones: accounts may name no other, and addresses move
            only when all of them have confirmed. Raises SettingsError when
            there is none, as addresses would then move unconfirmed.
        run : callable
            Runs what takes long; :func:`run_in_place` needs no event loop.
        """
        listed = frozenset(zones)
        if not listed:
            raise SettingsError("no zones are listed", "list every availability zone")
        reader = CatalogReader(platform)
        confirmations = ZoneConfirmations(platform)
        return cls(platform, listed, reader, confirmations, run)

    def new_change_id(self, token: str) -> str:
        """Make a change id from the newest revision known."""
        return make_change_id(self.reader.head.revision, token)

    async def commit(self, change: AnyChange, now: float) -> Committed:
        """Put a change in force, once, however often it is sent.

        Parameters
        ----------
        change : Change
            Sent again after a failure, it must have the same change id.
        now : float
            Time from which the retention of removed targets runs.

        Returns
        -------
        Committed
            Also when an earlier call with this change id committed it.

        Raises
        ------
        ConfigurationError, NotFoundError, MoveRefusedError, ConflictError
            The change is refused; this call changed nothing.
        PlatformUnavailableError
            The change is not accepted; this call changed nothing.
        OutcomeUnknownError
            The change may be committed: send it again with the same change id.
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
        raise not_accepted_error("other operators commit all the time")

    async def refresh(self) -> Head:
        """Read the head; write again what a platform that came back has lost.

        Raises ChangesLostError when that cannot be done here.
        """
        try:
            return await self.reader.refresh()
        except ChangesLostError:
            if not await restore_lost_changes(self.reader):
                raise
        return self.reader.head

    def refuse_during_restore_grace(self, catalog: Catalog, now: float) -> None:
        """Refuse a commit while others may write again what the platform has lost.

        After a commit on the older copy that came back they could not, since histories
        are not merged. Once one is made in this epoch, the time is over.
        """
        epoch = epoch_of(catalog.version)
        if catalog.head.epoch == epoch:
            return
        deadline = self.restore_grace_deadlines.setdefault(
            epoch, now + RESTORE_GRACE_SECONDS
        )
        if now < deadline:
            raise not_accepted_error(
                "the platform has come back from an older copy, and accepted changes "
                f"may be written again for {deadline - now:.0f} s"
            )

    def find_committed(self, head: Head, change: AnyChange) -> Committed | None:
        """Return how a change was committed, None if it certainly was not.

        The head remembers some hundred change ids. One made before the oldest
        of them could have been committed and forgotten; committing it would
        perhaps do it twice, so it is refused.
        """
        known = head.find_change(change.change_id)
        if known is not None:
            return Committed(known.revision)
        seen = change_id_revision(change.change_id)
        if seen > head.revision:
            raise not_accepted_error(
                f"revision {seen} of the change id is not known here"
            )
        if seen < head.changes_floor:
            raise OutcomeUnknownError(
                f"change {change.change_id} was made at revision {seen}; changes up "
                f"to revision {head.changes_floor} are forgotten",
                "read the history, and make the change under a new id if it is missing",
            )
        return None

    async def prepare(
        self, catalog: Catalog, change: AnyChange, attempt: Attempt, now: float
    ) -> PreparedCommit:
        """Check a change against a catalog and write its shards."""
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
        """Refuse addresses of other accounts; return the zones' confirmations.

        They are read only when an address that the draft takes left another
        account before.
        """
        in_the_way = await self.run(find_blocking_releases, draft)
        if not in_the_way and not has_many_releases(draft):
            return {}
        zones = self.zones | zones_of(draft.catalog)
        confirmed = await self.confirmations.read(zones)
        refuse_unconfirmed(in_the_way, confirmed)
        return confirmed

    async def swap_head(self, prepared: PreparedCommit, change: AnyChange) -> bool:
        """Compare-and-swap the head; False when another one is there.

        A lost answer leaves two cases, so the same swap is sent again. If the
        first took effect, the second finds another version, and the head tells
        by the change id whose it is. If it did not, the second may take effect
        and the first, should it still arrive, finds another version.
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
        """Read the head that replaced ``base``, this commit's own perhaps."""
        try:
            await self.reader.refresh_past(base)
        except CitronspringError as error:
            if uncertain:
                raise outcome_unknown_error(change) from error
            raise not_accepted_error(error) from error

    async def next_catalog(self) -> Catalog:
        """Read the catalog of the head that won."""
        try:
            return await self.reader.read_catalog()
        except PlatformUnavailableError as error:
            raise not_accepted_error(error) from error

    async def delete_expired_shards(self, prepared: PreparedCommit) -> None:
        """Delete shards out of reach; left behind, they only take up room."""
        for digest in prepared.expired_digests:
            try:
                await self.platform.delete(shard_key(digest))
            except (OutcomeUnknownError, PlatformUnavailableError):
                return

    async def read_snapshot(self) -> Snapshot:
        """Read every account; the revision is never below one read before.

        Only a process that commits keeps the definitions in memory.
        """
        await self.refresh()
        return (await self.reader.read_catalog(keep=False)).snapshot()

    async def read_records(
        self, after_revision: int
    ) -> tuple[ChangeRecord, ...] | None:
        """Read the change records above a revision, oldest first.

        There is one for each revision; a change that touched no account has a
        record with an empty account id and no account. None when some are
        forgotten: take the snapshot.
        """
        head = await self.refresh()
        if after_revision < head.records_floor:
            return None
        return tuple(r for r in head.records if r.revision > after_revision)

    async def watch_head(self, after_revision: int) -> int:
        """Wait for a revision above ``after_revision`` and return it."""
        return await self.reader.watch(after_revision)

    async def read_catalog(self) -> Catalog:
        """Read definitions, rendered accounts and histories of everything."""
        await self.refresh()
        return await self.reader.read_catalog()

    async def read_account(self, account_id: str) -> AccountEntry:
        """Read one account with its history; raises NotFoundError."""
        return require_entry(await self.read_catalog(), account_id)

    async def read_template(self, name: str) -> TemplateEntry:
        """Read one template with its history; raises NotFoundError."""
        return require_template(await self.read_catalog(), name)

    async def confirm_zone(self, zone: str, revision: int) -> int:
        """Tell that all hosts of a zone are at ``revision`` or above.

        Returns what the zone has confirmed, which never goes down.
        """
        return await self.confirmations.confirm(zone, revision)


def find_blocking_releases(draft: Draft) -> list[AddressRelease]:
    """Return the releases of addresses that a draft takes, if no account has them.

    Raises MoveRefusedError when another account has one.
    """
    catalog = draft.catalog
    taken = newly_taken_addresses(catalog, draft.changed_entries)
    refuse_used(catalog, draft.changed_entries, taken)
    return blocking_releases(taken, catalog.releases())


def has_many_releases(draft: Draft) -> bool:
    """Whether a shard to be written should forget confirmed releases."""
    shards = draft.catalog.shards
    indexes = {
        shard_of(account_id, len(shards)) for account_id in draft.changed_entries
    }
    return any(len(shards[index].releases) > RELEASES_KEPT for index in indexes)


def zones_of(catalog: Catalog) -> frozenset[str]:
    """Return the zones that accounts name."""
    zones: set[str] = set()
    for _, entry in catalog.entries():
        zones.update(entry.rendered.account.zones)
    return frozenset(zones)


def not_accepted_error(cause: object) -> PlatformUnavailableError:
    """Make the error of a change that this call did not put in force."""
    return PlatformUnavailableError(
        f"not accepted, this call changed nothing: {cause}",
        "send it again with the same change id",
    )


def outcome_unknown_error(change: AnyChange) -> OutcomeUnknownError:
    """Make the error of a change that may be in force."""
    return OutcomeUnknownError(
        f"no answer tells whether change {change.change_id} was committed",
        "send it again with the same change id, it is never committed twice",
    )
