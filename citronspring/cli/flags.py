"""Flags that several commands share."""

from __future__ import annotations

from citronspring.cli.commands import ChoiceFlag, MultiTextFlag, NumberFlag, TextFlag

#: Default URL of the administration API, of a host on this machine.
DEFAULT_HOST = "http://127.0.0.1:8440"

HOST = MultiTextFlag(
    "host",
    "URL of a host's administration API; the next one is tried if one is unreachable.",
    (DEFAULT_HOST,),
)
TOKEN_FILE = TextFlag("token_file", "File with the bearer token.")
CA_FILE = TextFlag(
    "ca_file", "PEM file of the certificates to trust instead of the default ones."
)
OUTPUT = ChoiceFlag("output", "Table for people, JSON for machines.", ("table", "json"))
CHANGE_ID = TextFlag(
    "change_id",
    "Change id of an earlier attempt, to retry it without a second change.",
)
IF_REVISION = NumberFlag(
    "if_revision",
    "Change only if the template or account is still at this revision; 0: only if "
    "there is none.",
)

#: Flags of commands that talk to one named host.
ACCESS = (TOKEN_FILE, CA_FILE, OUTPUT)

#: Flags of commands that read from any host.
READ = (HOST, *ACCESS)

#: Flags of commands that change the configuration.
CHANGE = (*READ, CHANGE_ID, IF_REVISION)
