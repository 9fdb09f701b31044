"""The commands ``serve`` and ``check-settings``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import structlog
from absl import flags

from citronspring.configuration.store import ConfigurationStore
from citronspring.daemons.host import HostDaemon, watch_signals
from citronspring.errors import SettingsError
from citronspring.platform.http import PlatformClient
from citronspring.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Sequence

SETTINGS = flags.DEFINE_string("settings", None, "TOML file with a host's settings")

logger = structlog.get_logger(__name__)


def serve(arguments: Sequence[str]) -> int:
    """Run an entry host until it is told to stop."""
    if SETTINGS.value is None:
        raise SettingsError("no settings file", "give --settings=FILE")
    settings = Settings.from_toml(Path(SETTINGS.value))
    anyio.run(run_host, settings)
    return 0


async def run_host(settings: Settings) -> None:
    """Run one host process."""
    async with PlatformClient.from_url(settings.platform.url) as platform:
        store = ConfigurationStore.from_platform(platform, settings.platform.zones)
        daemon = HostDaemon.from_settings(settings, store)
        async with anyio.create_task_group() as group:
            group.start_soon(watch_signals, daemon)
            await daemon.run()
            group.cancel_scope.cancel()


def check_settings(arguments: Sequence[str]) -> int:
    """Check a settings file and say what it describes."""
    if len(arguments) != 1:
        raise SettingsError("no settings file", "name one: check-settings FILE")
    settings = Settings.from_toml(Path(arguments[0]))
    print(f"{arguments[0]}: host {settings.host.id} in zone {settings.host.zone}")
    return 0
