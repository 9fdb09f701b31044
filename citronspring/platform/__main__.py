"""Start a host on the users' platform: ``python -m citronspring.platform``."""

from __future__ import annotations

import sys

from citronspring.daemons.clocks import boot_clock
from citronspring.daemons.platform_adapter import PlatformAdapter
from citronspring.daemons.prefetch import start_prefetch
from citronspring.errors import SettingsError
from citronspring.light_stdlib import TYPE_CHECKING
from citronspring.platform.leases import (
    decode_election_answer,
    encode_election_call,
)
from citronspring.platform.packets import (
    caller_ip,
    decode_packet,
    encode_for_target,
    encode_reset,
    format_flow,
)
from citronspring.platform.settings import read_settings, settings_version
from citronspring.platform.store import decode_answer, encode_call
from citronspring.tokens.messages import ListEntries

if TYPE_CHECKING:
    from citronspring.host_settings import HostSettings

#: Path at which the platform's routers ask whether a host may receive flows.
READINESS_PATH = "/api/ready"

#: Exit code when the settings are invalid.
EXIT_BAD_SETTINGS = 2


PLATFORM_ADAPTER = PlatformAdapter(
    read_settings=read_settings,
    settings_version=settings_version,
    decode_packet=decode_packet,
    encode_for_target=encode_for_target,
    encode_reset=encode_reset,
    caller_ip=caller_ip,
    format_flow=format_flow,
    encode_call=encode_call,
    decode_answer=decode_answer,
    encode_election_call=encode_election_call,
    decode_election_answer=decode_election_answer,
    readiness_path=READINESS_PATH,
)


#: Argument that checks the settings without starting a host.
CHECK_COMMAND = "check-settings"


def main() -> int:
    """Run a host until it is stopped, or check its settings."""
    try:
        settings = read_settings()
    except SettingsError as error:
        sys.stderr.write(f"citronspring: {error}\n")
        return EXIT_BAD_SETTINGS
    if sys.argv[1:] == [CHECK_COMMAND]:
        sys.stdout.write(f"the settings of {settings.host_id} are valid\n")
        return 0
    return serve(settings)


def serve(settings: HostSettings) -> int:
    """Run a host until it is stopped."""
    call = ListEntries()
    prefetch = start_prefetch(settings.store, call, encode_call(call), boot_clock())
    # Imported here so that the import overlaps with the pending request.
    from citronspring.daemons.token_host import TokenHost

    TokenHost(settings, PLATFORM_ADAPTER, prefetch).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
