"""Templates, client accounts and targets over the API."""

from __future__ import annotations

import pytest

from citronspring.configuration.store import ConfigurationStore
from citronspring.errors import OutcomeUnknownError
from citronspring.standins.memory import MemoryPlatform
from tests.conftest import ZONES
from tests.test_admin.hosts import (
    ApiHarness,
    assert_problem,
    put_examples,
    read_example,
)

pytestmark = pytest.mark.anyio

DRAIN = "/v1/accounts/bundelpers/targets/bundelpers-1/drain"


async def test_examples_are_put_and_shown_with_their_targets():
    async with ApiHarness.make().client() as client:
        last = await put_examples(client)
        listed = (await client.get("/v1/accounts")).json()
        assert [row["targets"] for row in listed["accounts"]] == [7, 3]
        assert listed["revision"] == last["revision"]
        account = (await client.get("/v1/accounts/bundelpers")).json()
        assert account["addresses"] == ["tcp 192.0.2.10:443"]
        assert account["limits"]["max_connections"] == 14_000
        assert {target["max_connections"] for target in account["targets"]} == {2000}
        templates = (await client.get("/v1/templates")).json()["templates"]
        assert [row["name"] for row in templates] == ["stream"]
        template = (await client.get("/v1/templates/stream")).json()
        assert template["template"]["body"]["zones"][0] == "drukkerij"


async def test_drain_undrain_history_and_delete():
    async with ApiHarness.make().client() as client:
        await put_examples(client)
        assert (await client.post(DRAIN)).status_code == 200
        account = (await client.get("/v1/accounts/bundelpers")).json()
        assert account["targets"][0]["state"] == "leaving"
        answer = await client.post(DRAIN.replace("drain", "undrain"))
        assert answer.status_code == 200
        history = (await client.get("/v1/accounts/bundelpers/history")).json()
        lines = [item["difference"] for item in history["history"]]
        assert lines[1] == ["target bundelpers-1: leaving"]
        assert history["history"][0]["author"] == "loopback"
        revision = history["history"][0]["revision"]
        path = "/v1/accounts/bundelpers"
        answer = await client.delete(f"{path}?if_revision={revision - 1}")
        assert_problem(answer, 409, "conflict")
        answer = await client.delete(f"{path}?if_revision={revision}")
        assert answer.status_code == 200
        assert_problem(await client.get(path), 404, "not-found")


async def test_conflict_shows_the_change_of_the_other_operator():
    """Two operators change one account, starting from the same revision.

    Both read revision 2; one drains a target, the other puts new parameters.
    The put would silently undo the drain; it gets a conflict that shows the drain.
    """
    async with ApiHarness.make().client() as client:
        await put_examples(client)
        account = (await client.get("/v1/accounts/bundelpers")).json()
        drained = (await client.post(DRAIN)).json()
        body = read_example("bundelpers") | {"if_revision": account["revision"]}
        answer = await client.put("/v1/accounts/bundelpers", json=body)
        problem = assert_problem(answer, 409, "conflict")
        assert problem["other_change_id"] == drained["change_id"]
        assert problem["difference"] == ["target bundelpers-1: leaving"]
        assert problem["changed"] == "nothing"


async def test_outage_response_says_that_nothing_was_changed():
    """The platform is unavailable while an operator drains a target.

    The response is 503 with Retry-After and says that nothing was changed. After the
    outage the account is as before, and a retry with the same change id commits.
    """
    harness = ApiHarness.make()
    async with harness.client() as client:
        await put_examples(client)
        before = (await client.get("/v1/accounts/bundelpers")).json()
        harness.platform.switches.outage = True
        body = {"change_id": "2-drain"}
        answer = await client.post(DRAIN, json=body)
        problem = assert_problem(answer, 503, "platform-unavailable")
        assert answer.headers["retry-after"]
        assert problem["changed"] == "nothing"
        assert problem["change_id"] == "2-drain"
        answer = await client.get("/v1/accounts")
        assert_problem(answer, 503, "platform-unavailable")
        assert (await client.get("/v1/status")).status_code == 200
        harness.platform.switches.outage = False
        assert (await client.get("/v1/accounts/bundelpers")).json() == before
        assert (await client.post(DRAIN, json=body)).status_code == 200


class AnswerLosingStore(ConfigurationStore):
    """A store that commits one change but loses its first answer."""

    lost = False

    async def commit(self, change, now):
        committed = await super().commit(change, now)
        if change.change_id == "2-lost" and not self.lost:
            self.lost = True
            raise OutcomeUnknownError("no answer", "send it again")
        return committed


async def test_lost_answer_is_reported_as_unknown_and_a_retry_commits_once():
    """The platform commits a drain and its answer is lost.

    To report "not accepted" would be wrong: the drain is committed. The response says
    that the outcome is unknown, and a retry with the same change id commits it once.
    """
    store = AnswerLosingStore.from_platform(MemoryPlatform(), ZONES)
    async with ApiHarness.make(store=store).client() as client:
        await put_examples(client)
        answer = await client.post(DRAIN, json={"change_id": "2-lost"})
        problem = assert_problem(answer, 503, "outcome-unknown")
        assert answer.headers["retry-after"]
        assert problem["changed"] == "unknown"
        assert problem["change_id"] == "2-lost"
        assert "same change id" in problem["remedy"] or "again" in problem["remedy"]
        answer = await client.post(DRAIN, json={"change_id": "2-lost"})
        assert answer.status_code == 200
        history = (await client.get("/v1/accounts/bundelpers/history")).json()
        ids = [item["change_id"] for item in history["history"]]
        assert ids.count("2-lost") == 1


async def test_moving_an_address_names_the_account_that_has_it():
    async with ApiHarness.make().client() as client:
        await put_examples(client)
        body = read_example("inzendloket")
        body["parameters"]["addresses"][0]["ip"] = "192.0.2.10"
        answer = await client.put("/v1/accounts/inzendloket", json=body)
        problem = assert_problem(answer, 409, "move-refused")
        assert "bundelpers" in problem["detail"]


async def test_unknown_parameter_is_reported_with_a_remedy():
    async with ApiHarness.make().client() as client:
        await put_examples(client)
        body = read_example("bundelpers")
        body["parameters"]["conections"] = 1
        answer = await client.put("/v1/accounts/bundelpers", json=body)
        problem = assert_problem(answer, 422, "invalid-configuration")
        assert "connections" in problem["remedy"]
