"""Flags that several commands share."""

from __future__ import annotations

from citronspring.cli.commands import ChoiceFlag, MultiTextFlag, NumberFlag, TextFlag

#: Where the administration API of a host on this machine may be.
DEFAULT_HOST = "http://127.0.0.1:8440"

HOST = MultiTextFlag(
    "host",
    "URL of a host's administration API; the next one is asked when one is out.",
    (DEFAULT_HOST,),
)
TOKEN_FILE = TextFlag("token_file", "File with the bearer token.")
CA_FILE = TextFlag(
    "ca_file", "PEM file of the certificates to trust in place of the usual ones."
)
OUTPUT = ChoiceFlag("output", "Table for people, JSON for machines.", ("table", "json"))
CHANGE_ID = TextFlag(
    "change_id", "Change id of an earlier attempt, to repeat it and not to do it twice."
)
IF_REVISION = NumberFlag(
    "if_revision",
    "Only if the template or account is still at this revision; 0: if there is none.",
)

#: Flags of commands that talk to one named host.
ACCESS = (TOKEN_FILE, CA_FILE, OUTPUT)

#: Flags of commands that read from any host.
READ = (HOST, *ACCESS)

#: Flags of commands that change the configuration.
CHANGE = (*READ, CHANGE_ID, IF_REVISION)
