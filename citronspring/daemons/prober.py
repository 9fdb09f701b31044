"""Asks targets' health endpoints over HTTP what the core wants to know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpx
from pydantic import BaseModel, Field, ValidationError

from citronspring.messages import ProbeResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream

    from citronspring.entities import Endpoint
    from citronspring.messages import ProbeTarget

    #: Returns where a target's health endpoint answers, if it has one.
    FindEndpoint = Callable[[str], Endpoint | None]

#: Path of a target's health endpoint.
HEALTH_PATH = "/health"

#: Seconds for a whole answer; less than the time between two probes of a target.
PROBE_TIMEOUT = 1.5

#: Probes at once, and probes that may wait. A host probes each of its targets
#: every two seconds, so that these are enough for hundreds of slow ones.
MAX_CONCURRENT = 32
MAX_QUEUED = 1024

#: Bytes of an answer; more is taken for an error.
MAX_ANSWER_BYTES = 4096


class HealthAnswer(BaseModel):
    """What a health endpoint says."""

    healthy: bool
    #: Requests at work and waiting, over slots.
    load: float | None = Field(default=None, ge=0.0, le=1e6, allow_inf_nan=False)


class Prober:
    """Performs probes in a few tasks, each target's one at a time.

    Parameters
    ----------
    find_endpoint : callable
        Returns where a target's health endpoint answers.
    report : callable
        Takes the result of each probe.
    """

    def __init__(
        self, find_endpoint: FindEndpoint, report: Callable[[ProbeResult], None]
    ) -> None:
        self.find_endpoint = find_endpoint
        self.report = report
        #: Targets that are being asked, or wait for it.
        self.pending: set[str] = set()
        #: Probes not made since too many waited.
        self.dropped = 0
        streams = anyio.create_memory_object_stream[str](MAX_QUEUED)
        self.requests, self.queue = streams

    def request(self, action: ProbeTarget) -> None:
        """Queue a probe; never blocks, since the core's carrier calls it."""
        if action.target_id in self.pending:
            return
        try:
            self.requests.send_nowait(action.target_id)
        except anyio.WouldBlock:
            self.dropped += 1
            return
        self.pending.add(action.target_id)

    async def run(self) -> None:
        """Probe until cancelled."""
        limits = httpx.Limits(max_connections=MAX_CONCURRENT)
        client = httpx.AsyncClient(
            limits=limits, timeout=PROBE_TIMEOUT, trust_env=False
        )
        async with client, anyio.create_task_group() as group:
            for _ in range(MAX_CONCURRENT):
                group.start_soon(self.run_worker, client, self.queue.clone())

    def close(self) -> None:
        """Take no more requests."""
        self.requests.close()
        self.queue.close()

    async def run_worker(
        self, client: httpx.AsyncClient, queue: MemoryObjectReceiveStream[str]
    ) -> None:
        """Make one probe after the other."""
        with queue:
            async for target_id in queue:
                result = await self.probe(client, target_id)
                self.pending.discard(target_id)
                if result is not None:
                    self.report(result)

    async def probe(
        self, client: httpx.AsyncClient, target_id: str
    ) -> ProbeResult | None:
        """Ask one target; any failure to answer well is an unhealthy answer."""
        endpoint = self.find_endpoint(target_id)
        if endpoint is None:
            return None
        ip = f"[{endpoint.ip}]" if ":" in endpoint.ip else endpoint.ip
        url = f"http://{ip}:{endpoint.port}{HEALTH_PATH}"
        with anyio.move_on_after(PROBE_TIMEOUT):
            try:
                answer = HealthAnswer.model_validate_json(await fetch(client, url))
            except (httpx.HTTPError, ValidationError):
                return ProbeResult(target_id, False)
            return ProbeResult(target_id, answer.healthy, answer.load)
        return ProbeResult(target_id, False)


async def fetch(client: httpx.AsyncClient, url: str) -> bytes:
    """Return the body of a good answer, cut off where it grows too long."""
    body = b""
    async with client.stream("GET", url) as response:
        response.raise_for_status()
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                break
    return body[: MAX_ANSWER_BYTES + 1]
