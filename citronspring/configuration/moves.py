"""Move a service address or tunnel from one account to another, in two steps.

First the address is removed from its account. Another account may use it only after
every listed zone has confirmed that revision or a later one: hosts of a zone that has
not confirmed it may still forward packets for the first account.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from citronspring.configuration.addresses import addresses_of
from citronspring.configuration.shards import AddressRelease
from citronspring.errors import MoveRefusedError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from citronspring.configuration.catalog import Catalog
    from citronspring.configuration.shards import AccountEntry
#: The entry of each account that a commit changes, None if it deletes the account.
ChangedEntries = dict[str, "AccountEntry | None"]


def addresses_of_entry(entry: AccountEntry | None) -> frozenset[str]:
    """Return the addresses of an entry; an empty set if there is no entry."""
    return addresses_of(entry.rendered.account) if entry else frozenset()


def newly_taken_addresses(
    catalog: Catalog, changed_entries: ChangedEntries
) -> dict[str, str]:
    """Return the account id by address, for addresses that a commit adds.

    Raises MoveRefusedError if two of the changed accounts add the same address.
    """
    taken: dict[str, str] = {}
    for account_id, entry in changed_entries.items():
        before = addresses_of_entry(catalog.entry(account_id))
        for address in sorted(addresses_of_entry(entry) - before):
            if address in taken:
                raise address_in_use_error(address, account_id, taken[address])
            taken[address] = account_id
    return taken


def refuse_used(
    catalog: Catalog, changed_entries: ChangedEntries, taken: Mapping[str, str]
) -> None:
    """Raise MoveRefusedError if another account still has an address."""
    for shard in catalog.shards:
        for address in shard.accounts_by_address.keys() & taken.keys():
            holder = shard.accounts_by_address[address]
            current = changed_entries.get(holder, shard.accounts[holder])
            if taken[address] != holder and address in addresses_of_entry(current):
                raise address_in_use_error(address, taken[address], holder)


def address_in_use_error(
    address: str, wanted_by: str, held_by: str
) -> MoveRefusedError:
    """Return the error for an address that another account has."""
    return MoveRefusedError(
        f"account {wanted_by}: {address} belongs to account {held_by}",
        f"remove it from {held_by} first; a removed target keeps its tunnel until "
        "it is purged",
    )


def new_releases(
    catalog: Catalog, changed_entries: ChangedEntries, revisions: Mapping[str, int]
) -> list[AddressRelease]:
    """Return the addresses that are removed from the changed accounts.

    Parameters
    ----------
    catalog : Catalog
        The configuration before the commit.
    changed_entries : dict
        The entries after the commit.
    revisions : mapping of str to int
        Revision from which the entry of each changed account is effective.
    """
    releases = []
    for account_id, entry in changed_entries.items():
        before = addresses_of_entry(catalog.entry(account_id))
        for address in sorted(before - addresses_of_entry(entry)):
            releases.append(AddressRelease(address, account_id, revisions[account_id]))
    return releases


def blocking_releases(
    taken: Mapping[str, str], releases: Iterable[AddressRelease]
) -> list[AddressRelease]:
    """Return the releases that all zones must confirm before the commit."""
    return [
        release
        for release in releases
        if release.address in taken and taken[release.address] != release.account_id
    ]


def refuse_unconfirmed(
    releases: Iterable[AddressRelease], confirmed: Mapping[str, int]
) -> None:
    """Raise MoveRefusedError if a zone may still use an address for its old account.

    Parameters
    ----------
    releases : iterable of AddressRelease
        Releases of the addresses that the commit adds.
    confirmed : mapping of str to int
        Newest confirmed revision of every listed zone.
    """
    for release in releases:
        waiting = tuple(
            zone for zone in sorted(confirmed) if confirmed[zone] < release.revision
        )
        if waiting:
            raise MoveRefusedError(
                f"{release.address} left account {release.account_id} at revision "
                f"{release.revision}, which has not been confirmed by zone "
                f"{', '.join(waiting)}",
                "try again after these zones have confirmed it",
                zones=waiting,
            )
