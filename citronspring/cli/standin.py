"""The command ``standin platform``: an in-memory platform for trials."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from citronspring.cli.commands import Command, TextFlag
from citronspring.cli.exit_codes import UsageError
from citronspring.entities import Endpoint
from citronspring.standins.memory import MemoryPlatform
from citronspring.standins.platform import serve_platform

if TYPE_CHECKING:
    from citronspring.cli.commands import Invocation

DEFAULT_LISTEN = "127.0.0.1:8500"


def platform(invocation: Invocation) -> int:
    """Serve a platform that keeps its values in memory until interrupted."""
    text = invocation.flags["listen"]
    try:
        endpoint = Endpoint.from_text(text)
    except ValueError:
        raise UsageError(
            f"--listen={text} is not ip:port", "give it as 127.0.0.1:8500"
        ) from None
    print(f"in-memory platform listening on http://{endpoint}", flush=True)
    anyio.run(serve_platform, MemoryPlatform(), endpoint)
    return 0


COMMANDS = (
    Command(
        ("standin", "platform"),
        (),
        platform,
        "Serve an in-memory platform for trials; its data is lost when it ends.",
        (TextFlag("listen", "Endpoint to listen on.", DEFAULT_LISTEN),),
    ),
)
