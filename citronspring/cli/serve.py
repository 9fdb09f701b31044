"""The commands ``serve`` and ``check-settings``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from citronspring.admin.server import serve_administration
from citronspring.cli.commands import Command, TextFlag
from citronspring.cli.exit_codes import UsageError
from citronspring.configuration.store import ConfigurationStore
from citronspring.daemons.host import HostDaemon, watch_signals
from citronspring.key_value.http import PlatformClient
from citronspring.logs import configure_logs
from citronspring.settings import Settings

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation


def serve(invocation: Invocation) -> int:
    """Run a host process until it is stopped."""
    name = invocation.flags["settings"]
    if name is None:
        raise UsageError("no settings file", "give --settings=FILE")
    settings = Settings.from_toml(Path(name))
    configure_logs(settings.logs)
    anyio.run(run_host, settings)
    return 0


async def run_host(settings: Settings) -> None:
    """Run the host process, its signal handling and its administration API."""
    async with PlatformClient.from_url(settings.platform.url) as platform:
        store = ConfigurationStore.from_platform(platform, settings.platform.zones)
        daemon = HostDaemon.from_settings(settings, store)
        async with anyio.create_task_group() as group:
            await group.start(watch_signals, daemon)
            await group.start(serve_administration, daemon, store)
            await daemon.run()
            group.cancel_scope.cancel()


def check_settings(invocation: Invocation) -> int:
    """Check a settings file and print its host, zone and number of peers."""
    (name,) = invocation.arguments
    settings = Settings.from_toml(Path(name))
    peers = len(settings.peers)
    print(
        f"{name}: host {settings.host.id} in zone {settings.host.zone}, {peers} peers"
    )
    return 0


COMMANDS = (
    Command(
        ("serve",),
        (),
        serve,
        "Run a host process until it is stopped.",
        (TextFlag("settings", "TOML file with the host's settings."),),
    ),
    Command(
        ("check-settings",),
        ("FILE",),
        check_settings,
        "Check a settings file and print its host, zone and number of peers.",
    ),
)
