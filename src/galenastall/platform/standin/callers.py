"""A caller of entry hosts, in the platform's API."""

from typing import Any, Final

import httpcore
import msgspec
import trio

from galenastall.platform.standin.hosts import StandinHost
from galenastall.standin.cell.live_simulation import JobPayload

TIMEOUT_S: Final = 3.0
"""How long a caller waits for a response."""
POLL_S: Final = 0.05
OK: Final = 200


class StandinCaller:
    """Submits jobs and queries their state, each at a given host."""

    def __init__(self, *, host_name: str = "standin.example", key: str = "") -> None:
        """`host_name` is the Host header of the configured routes; an empty key is not sent."""
        self._pool = httpcore.AsyncConnectionPool()
        self._host_name = host_name
        self.key = key

    async def request(
        self, host: StandinHost, method: str, path: str, body: bytes = b""
    ) -> tuple[int, Any]:
        """Return status and decoded body; status 0 if there was no response."""
        headers = [
            ("host", self._host_name),
            ("deadline-remaining", str(int(TIMEOUT_S * 1000))),
            ("content-type", "application/json"),
        ]
        if self.key:
            headers.append(("x-api-key", self.key))
        url = f"http://{host.callers_address}{path}"
        answer = await self._call(method, url, headers, body)
        if answer is None:
            return 0, None
        return answer.status, msgspec.json.decode(answer.content) if answer.content else None

    async def _call(
        self, method: str, url: str, headers: list[tuple[str, str]], body: bytes
    ) -> httpcore.Response | None:
        """Return a response, or None if the connection failed or timed out."""
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            return await self._pool.request(
                method, url, headers=headers, content=body, extensions={"timeout": timeout}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None

    async def submit(
        self, host: StandinHost, route: str, job_id: str, payload: JobPayload
    ) -> tuple[int, Any]:
        """Submit a job whose tasks behave as `payload` describes."""
        steps = [
            {
                "count": step.count,
                "cpu": step.cores_milli,
                "memoryRequestMb": step.memory_mb,
                "estimatedMs": step.run_s * 1000,
                "after": step.after,
                "gangScheduled": step.is_gang,
            }
            for step in payload.steps
        ]
        message = {"specification": msgspec.json.encode(payload).decode(), "steps": steps}
        return await self.request(host, "POST", f"/{route}/{job_id}", msgspec.json.encode(message))

    async def state(self, host: StandinHost, route: str, job_id: str) -> str:
        """Return a job's state, or the status as text if it is not 200."""
        status, body = await self.request(host, "GET", f"/{route}/{job_id}")
        return str(body["state"]) if status == OK else str(status)

    async def wait_ready(self, host: StandinHost) -> None:
        """Wait until a host reports that it is ready."""
        url = f"http://{host.readiness_address}/readiness"
        while True:
            answer = await self._call("GET", url, [("host", host.readiness_address)], b"")
            if answer is not None and answer.status == OK:
                return
            await trio.sleep(POLL_S)
