"""Describe the effect of a change in a few lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from citronspring.configuration.validation_errors import escape

if TYPE_CHECKING:
    from collections.abc import Mapping

    from citronspring.configuration.rendering import RenderedAccount
    from citronspring.configuration.shards import AccountEntry

#: Maximum number of lines that describe one change.
LINES_KEPT = 8


def account_difference(
    before: AccountEntry | None, after: AccountEntry | None
) -> tuple[str, ...]:
    """Return the effect of a change on an account, one line per difference."""
    if before is None:
        return ("created",)
    if after is None:
        return ("deleted",)
    lines = []
    if before.template != after.template:
        lines.append(f"template: {before.template} -> {after.template}")
    lines += mapping_difference(before.parameters, after.parameters)
    lines += target_difference(before.rendered, after.rendered)
    return truncate_lines(lines)


def mapping_difference(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[str]:
    """Return a line for each changed key, or for each changed item of a list."""
    lines = []
    for key in sorted(set(before) | set(after)):
        old, new = before.get(key), after.get(key)
        if old == new:
            continue
        if isinstance(old, list) and isinstance(new, list):
            lines += [f"{key}: + {escape(item)}" for item in new if item not in old]
            lines += [f"{key}: - {escape(item)}" for item in old if item not in new]
        else:
            lines.append(f"{key}: {escape(old)} -> {escape(new)}")
    return lines


def target_difference(before: RenderedAccount, after: RenderedAccount) -> list[str]:
    """Return a line for each target that was drained, undrained or purged."""
    old = {target.target_id: target for target in before.account.targets}
    new = {target.target_id: target for target in after.account.targets}
    lines = []
    for target_id in sorted(set(old) | set(new)):
        if target_id not in new:
            lines.append(f"target {target_id}: purged")
        elif target_id in old and old[target_id].leaving != new[target_id].leaving:
            word = "leaving" if new[target_id].leaving else "active"
            lines.append(f"target {target_id}: {word}")
    return lines


def truncate_lines(lines: list[str]) -> tuple[str, ...]:
    """Return the first lines, followed by the number of omitted ones."""
    if len(lines) <= LINES_KEPT:
        return tuple(lines)
    more = f"and {len(lines) - LINES_KEPT + 1} more"
    return (*lines[: LINES_KEPT - 1], more)
