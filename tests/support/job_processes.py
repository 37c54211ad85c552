"""An entry, an attendant and a store as processes, for crowds of clients."""

from __future__ import annotations

import http.client
import itertools
import resource
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import yaml

from coltsfoottray.scheduler.messages import (
    SCHEDULER_ANNOUNCEMENT,
    SchedulerAnnouncement,
)
from coltsfoottray.scheduler.ping import PING, Ping
from coltsfoottray.types import Address
from tests.support.heartbeats import make_heartbeat
from tests.support.measured import MeasuredProcess
from tests.support.processes import Answer, Launcher

__all__ = ["HOST", "PATH", "JobProcesses"]

HOST = "jobs.example"
PATH = "/rebuild/"
# A caller gives up one attempt after it and tries again; nothing asserts it.
_ATTEMPT_S = 10.0
_NOBODY = Address(host="127.0.0.1", port=9)
_JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 1, "estimateMs": 100}]}


@dataclass(kw_only=True)
class JobProcesses(Launcher):
    """Starts daemons for jobs, and sends them ordinary requests."""

    measured_by_name: dict[str, MeasuredProcess] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def start_entry(self, descriptors: int) -> None:
        """Start a store, and an entry that serves its config."""
        self.start_stand_in("metadata-table", "store")
        ports = {
            port: f"127.0.0.1:{self._reserve_port(port)}"
            for port in ("callers", "readiness")
        }
        self._start_job_daemon("entry", "job-entry", ports, descriptors)
        self.wait_until("the entry is ready", lambda: self.is_answered("readiness"))

    def start_attendant(self, descriptors: int) -> None:
        """Start a store, and an attendant without a worker."""
        self.start_stand_in("metadata-table", "store")
        ports = {"heartbeats": f"127.0.0.1:{self._reserve_port('heartbeats')}"}
        self._start_job_daemon("attendant", "job-attendant", ports, descriptors)
        self.wait_until("the attendant answers", lambda: self.is_answered("metrics"))

    def measured(self) -> MeasuredProcess:
        """Return the figures of the only daemon."""
        (measured,) = self.measured_by_name.values()
        return measured

    def is_answered(self, port: str) -> bool:
        """Return whether one ordinary request at `port` is answered with success."""
        answer = self._try(port, *self._make_request(port))
        return answer is not None and answer.status == 200

    def check_answered(self, port: str) -> None:
        """Send ordinary requests as a caller does, until one is answered."""
        self.wait_until(f"a request at {port}", lambda: self.is_answered(port))

    def read_metrics(self) -> str:
        """Return the daemon's metrics as text."""
        answer = self._try("metrics", "GET", "/metrics", b"")
        assert answer is not None
        return answer.body

    def log_bytes(self) -> int:
        """Return the size of all that the daemon has written."""
        (name,) = self.measured_by_name
        return sum(
            (self.folder / f"{name}.{kind}").stat().st_size for kind in ("err", "log")
        )

    def _make_request(self, port: str) -> tuple[str, str, bytes]:
        if port == "callers":
            return "POST", self._job_path(), msgspec.json.encode(_JOB)
        if port == "peers":
            return self._make_peer_call()
        if port == "heartbeats":
            sequence = next(self.numbers)
            body = msgspec.json.encode(make_heartbeat(sequence=sequence))
            return "POST", "/v1/instances/i-1/heartbeat", body
        return "GET", "/status" if port == "metrics" else "/v1/readiness", b""

    def _make_peer_call(self) -> tuple[str, str, bytes]:
        if "entry" in self.measured_by_name:
            return "POST", PING.path, msgspec.msgpack.encode(Ping())
        announcement = SchedulerAnnouncement(epoch=0, scheduler=_NOBODY)
        body = msgspec.msgpack.encode(announcement)
        return "POST", SCHEDULER_ANNOUNCEMENT.path, body

    def _job_path(self) -> str:
        return f"{PATH}{next(self.numbers):016x}"

    def _try(self, port: str, method: str, path: str, body: bytes) -> Answer | None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port_by_name[port], timeout=_ATTEMPT_S
        )
        try:
            connection.request(method, path, body or None, {"Host": HOST})
            response = connection.getresponse()
            body = response.read().decode(errors="replace")
            return Answer(status=response.status, body=body)
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def _start_job_daemon(
        self, name: str, role: str, addresses: dict[str, str], descriptors: int
    ) -> None:
        settings: dict[str, Any] = {
            "role": role,
            "name": name,
            "data_centre": "caerdydd",
            "peers": f"127.0.0.1:{self._reserve_port('peers')}",
            "metrics": f"127.0.0.1:{self._reserve_port('metrics')}",
            "table": f"127.0.0.1:{self.port_by_name['store']}",
            "log": {"file": str(self.folder / f"{name}.log")},
            **addresses,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._start(name, ["coltsfoottray.cli.run", str(path)])
        self.measure(name, [*addresses, "peers", "metrics"], descriptors)

    def measure(self, name: str, ports: Sequence[str], descriptors: int) -> None:
        """Limit the descriptors of a daemon, and measure what it holds."""
        process = self.process_by_name[name]
        limits = (descriptors, descriptors)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        self.measured_by_name[name] = MeasuredProcess(
            pid=process.pid, ports={self.port_by_name[port] for port in ports}
        )
