"""Probes the health endpoints of targets over HTTP."""

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

    #: Returns the health endpoint of a target, None if it has none.
    FindEndpoint = Callable[[str], Endpoint | None]

#: Path of a target's health endpoint.
HEALTH_PATH = "/health"

#: Timeout of a probe in seconds; less than the interval between two probes of a target.
PROBE_TIMEOUT = 1.5

#: Limits on concurrent and on queued probes. A host probes each of its targets every
#: two seconds, so these suffice for hundreds of slow targets.
MAX_CONCURRENT = 32
MAX_QUEUED = 1024

#: Largest answer in bytes; a longer one counts as an error.
MAX_ANSWER_BYTES = 4096


class HealthAnswer(BaseModel):
    """Answer of a health endpoint."""

    healthy: bool
    #: Requests in service and queued, divided by the target's slots.
    load: float | None = Field(default=None, ge=0.0, le=1e6, allow_inf_nan=False)


class Prober:
    """Runs probes in a fixed number of tasks, at most one probe per target at a time.

    Parameters
    ----------
    find_endpoint : callable
        Returns the health endpoint of a target.
    report : callable
        Called with the result of each probe.
    """

    def __init__(
        self, find_endpoint: FindEndpoint, report: Callable[[ProbeResult], None]
    ) -> None:
        self.find_endpoint = find_endpoint
        self.report = report
        #: Targets whose probe is queued or running.
        self.pending: set[str] = set()
        #: Probes skipped because the queue was full.
        self.dropped = 0
        streams = anyio.create_memory_object_stream[str](MAX_QUEUED)
        self.requests, self.queue = streams

    def request(self, action: ProbeTarget) -> None:
        """Queue a probe; never blocks, because the packet path calls it."""
        if action.target_id in self.pending:
            return
        try:
            self.requests.send_nowait(action.target_id)
        except anyio.WouldBlock:
            self.dropped += 1
            return
        self.pending.add(action.target_id)

    async def run(self) -> None:
        """Run the probe tasks until cancelled."""
        limits = httpx.Limits(max_connections=MAX_CONCURRENT)
        client = httpx.AsyncClient(
            limits=limits, timeout=PROBE_TIMEOUT, trust_env=False
        )
        async with client, anyio.create_task_group() as group:
            for _ in range(MAX_CONCURRENT):
                group.start_soon(self.run_worker, client, self.queue.clone())

    def close(self) -> None:
        """Close the queue."""
        self.requests.close()
        self.queue.close()

    async def run_worker(
        self, client: httpx.AsyncClient, queue: MemoryObjectReceiveStream[str]
    ) -> None:
        """Run queued probes one after another."""
        with queue:
            async for target_id in queue:
                result = await self.probe(client, target_id)
                self.pending.discard(target_id)
                if result is not None:
                    self.report(result)

    async def probe(
        self, client: httpx.AsyncClient, target_id: str
    ) -> ProbeResult | None:
        """Return the result of one probe; any error counts as unhealthy."""
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
    """Return the body of a successful answer, truncated above the largest size."""
    body = b""
    async with client.stream("GET", url) as response:
        response.raise_for_status()
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                break
    return body[: MAX_ANSWER_BYTES + 1]
