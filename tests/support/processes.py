"""Starts and kills separate processes for tests."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import yaml

__all__ = ["Answer", "Launcher"]

# Reached only if a process hangs; no test asserts how long anything takes.
TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05
_FIRST_PORT, _LAST_PORT = 10_000, 32_000
_PORTS_EACH = 50


def _first_port() -> int:
    span = _LAST_PORT - _FIRST_PORT - _PORTS_EACH
    return _FIRST_PORT + os.getpid() * _PORTS_EACH % span


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The response of an HTTP server."""

    status: int
    body: str


@dataclass(kw_only=True)
class Launcher:
    """The processes by name, with the ports assigned to them."""

    process_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    port_by_name: dict[str, int] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    # Others that run at the same time begin elsewhere.
    ports: Iterator[int] = field(
        default_factory=lambda: iter(range(_first_port(), _LAST_PORT))
    )

    def start_stand_in(self, kind: str, name: str) -> None:
        """Start a stand-in of `kind` as `name`."""
        port = self._reserve_port(name)
        self._start(name, ["standins.serve", kind, str(port)])

    def start_daemon(self, name: str, settings: dict[str, object]) -> None:
        """Start a daemon with `settings`, completed with addresses and timing."""
        complete = {
            "name": name,
            "data_centre": "caerdydd",
            "http": f"127.0.0.1:{self._reserve_port(name)}",
            "peers": f"127.0.0.1:{self._reserve_port(name + '/peers')}",
            "table": f"127.0.0.1:{self.port_by_name['table']}",
            "objects": f"127.0.0.1:{self.port_by_name['table']}",
            "timing": {"lease_s": 3, "hold_s": 1, "silence_s": 3, "report_s": 0.25},
            **settings,
        }
        if settings["role"] == "entry":
            port = self._reserve_port(name + "/claims")
            complete["claims"] = f"127.0.0.1:{port}"
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(complete))
        command = "entry" if settings["role"] == "entry" else "attendant"
        log = str(self.folder / f"{name}.log")
        module = "coltsfoottray.cli.main"
        self._start(name, [module, command, str(path), "--log-file", log])

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one command of the CLI and return its result."""
        return subprocess.run(
            [sys.executable, "-m", "coltsfoottray.cli.main", *arguments],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )

    def kill(self, name: str) -> None:
        """Kill one process without a graceful shutdown, as in a crash."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill all remaining processes."""
        for name in list(self.process_by_name):
            self.kill(name)

    def send(
        self, name: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Send one request; return None if no response arrives."""
        url = f"http://127.0.0.1:{self.port_by_name[name]}{path}"
        data = body if method == "POST" else None
        request = urllib.request.Request(url, data, headers, method=method)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return Answer(status=response.status, body=response.read().decode())
        except urllib.error.HTTPError as error:
            return Answer(status=error.code, body=error.read().decode())
        except OSError:
            return None

    def wait_until(self, what: str, condition: Callable[[], bool]) -> None:
        """Call `condition` repeatedly until it is true."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(f"timed out: {what}")
            time.sleep(_POLL_INTERVAL_S)

    def _reserve_port(self, name: str) -> int:
        """Return a port that the system does not choose for a client."""
        for port in self.ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.port_by_name[name] = port
            return port
        raise AssertionError("no free port is left")

    def _start(self, name: str, arguments: list[str]) -> None:
        errors = (self.folder / f"{name.replace('/', '-')}.err").open("wb")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=errors,
        )
