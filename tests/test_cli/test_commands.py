"""Commands as clients of a host's API over HTTP."""

from __future__ import annotations

import json

import httpx
import pytest

from citronspring.cli.client import AdminClient
from citronspring.cli.exit_codes import RemoteError
from citronspring.cli.main import main
from citronspring.errors import OutcomeUnknownError
from tests.test_admin.hosts import (
    EXAMPLES,
    OPERATE_TOKEN,
    READ_TOKEN,
    make_settings,
    two_tokens,
)

BUNDELPERS = str(EXAMPLES / "bundelpers.toml")


def put_examples(served):
    served.run("template", "put", str(EXAMPLES / "stream.toml"))
    for account in ("bundelpers", "inzendloket"):
        path = str(EXAMPLES / f"{account}.toml")
        served.run("account", "put", account, path)


def history(served):
    out, _ = served.run("account", "history", "bundelpers", "--output=json")
    return json.loads(out)["history"]


def test_operator_session_from_put_to_delete(served):
    put_examples(served)
    out, _ = served.run("account", "list")
    assert out.splitlines()[1].split() == ["bundelpers", "stream", "7", "2"]
    out, err = served.run("target", "drain", "bundelpers", "bundelpers-2")
    assert out.endswith("target bundelpers-2 of bundelpers: committed at revision 4\n")
    assert err.startswith("change id 3-")
    out, _ = served.run("account", "show", "bundelpers")
    assert "bundelpers-2  leaving" in out
    served.run("target", "undrain", "bundelpers", "bundelpers-2")
    out, _ = served.run("account", "history", "bundelpers")
    assert "target bundelpers-2: leaving" in out
    assert "stream" in served.run("template", "list")[0]
    template = json.loads(served.run("template", "show", "stream")[0])
    assert template["template"]["name"] == "stream"
    out, _ = served.run("status")
    assert "ejected targets: none" in out
    assert "drukkerij" in out
    served.run("account", "delete", "inzendloket")
    out, err = served.run("account", "show", "inzendloket", code=4)
    assert err.startswith("citronspring: ")


def test_host_commands_take_the_url_as_argument(served):
    assert main(["dump", served.url]) == 0
    assert json.loads(served.capsys.readouterr().out)["host"] == "host-0"
    assert main(["host", "drain", served.url.removeprefix("http://")]) == 0
    assert "host-0 leaves, within 30 s" in served.capsys.readouterr().out
    assert served.harness.host.left


def test_lost_answer_is_retried_with_the_same_change_id(served):
    """A host commits a drain and its response is lost.

    The command must neither report a failure for a committed change nor commit it
    twice: it retries with the same change id and succeeds.
    """
    put_examples(served)
    served.losing.losses = 2
    _, err = served.run("target", "drain", "bundelpers", "bundelpers-1")
    change_id = err.split()[2]
    assert [item["change_id"] for item in history(served)].count(change_id) == 1


def test_outcome_is_unknown_when_every_answer_is_lost(served):
    """All responses to a drain are lost.

    The command exits with code 8 (outcome unknown) and prints the change id. Repeated
    with that id it succeeds, and the drain is committed once.
    """
    put_examples(served)
    served.losing.losses = 100
    drain = ("target", "drain", "bundelpers", "bundelpers-1")
    _, err = served.run(*drain, code=8)
    change_id = err.split()[2]
    assert f"--change_id={change_id}" in err
    served.losing.losses = 0
    served.run(*drain, f"--change_id={change_id}")
    assert [item["change_id"] for item in history(served)].count(change_id) == 1


def client_with_answers(*answers):
    """Return a client whose host gives these answers in turn."""
    queue = list(answers)

    def respond(request):
        answer = queue.pop(0)
        if isinstance(answer, Exception):
            raise answer
        status, kind = answer
        body = {"kind": kind, "detail": kind, "remedy": "r"}
        return httpx.Response(status, json=body)

    client = httpx.Client(transport=httpx.MockTransport(respond))
    return AdminClient(("http://host",), client, sleep=lambda seconds: None)


def test_refusal_after_a_lost_answer_leaves_the_outcome_unknown():
    """The first response to a change is lost, the second is a conflict.

    The second host may not have known the change yet, so the conflict does not prove
    that the change was not committed. "Refused" would be wrong if it was.
    """
    client = client_with_answers(httpx.ReadError("gone"), (409, "conflict"))
    with pytest.raises(OutcomeUnknownError, match="then refused: conflict"):
        client.change("PUT", "/v1/accounts/a", {}, "1-a")
    client = client_with_answers((409, "conflict"))
    with pytest.raises(RemoteError):
        client.change("PUT", "/v1/accounts/a", {}, "1-a")


def test_outage_exits_with_nothing_changed(served):
    put_examples(served)
    served.harness.platform.switches.outage = True
    _, err = served.run("target", "drain", "bundelpers", "bundelpers-1", code=7)
    assert "changed nothing" in err
    served.harness.platform.switches.outage = False
    assert len(history(served)) == 1


def test_conflict_prints_the_change_of_the_other_operator(served):
    put_examples(served)
    served.run("target", "drain", "bundelpers", "bundelpers-1")
    words = ("account", "put", "bundelpers", BUNDELPERS, "--if_revision=2")
    _, err = served.run(*words, code=5)
    assert "target bundelpers-1: leaving" in err


def test_next_host_is_tried_when_one_is_unreachable(serve, capsys):
    second = serve()
    put_examples(second)
    words = ["account", "list", "--host=http://127.0.0.1:1", f"--host={second.url}"]
    assert main(words) == 0
    assert "bundelpers" in capsys.readouterr().out
    drain = ["target", "drain", "bundelpers", "bundelpers-1"]
    assert main([*drain, "--host=http://127.0.0.1:1", f"--host={second.url}"]) == 0


def test_token_files_and_their_roles(serve, tmp_path):
    served = serve(make_settings(two_tokens(tmp_path)))
    put = ("template", "put", str(EXAMPLES / "stream.toml"))
    _, err = served.run(*put, code=6)
    assert "token" in err
    _, err = served.run(*put, f"--token_file={tmp_path / 'read'}", code=6)
    assert "reader may not operate" in err
    served.run(*put, f"--token_file={tmp_path / 'operate'}")
    for token in (READ_TOKEN, OPERATE_TOKEN):
        assert token not in err
