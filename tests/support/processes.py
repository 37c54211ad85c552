"""Starting and killing real processes, for tests only."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import yaml

__all__ = ["Answer", "Launcher"]

# Reached only when something hangs; nothing is ever asserted about time.
HANG_S = 60.0
_POLL_S = 0.05


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What an HTTP server said."""

    status: int
    body: str


@dataclass(kw_only=True)
class Launcher:
    """Processes by name, and the ports they were given."""

    process_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    port_by_name: dict[str, int] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    def start_stand_in(self, kind: str, name: str) -> None:
        """Start a stand-in of `kind` as `name`."""
        port = self._take_port(name)
        self._start(name, ["standins.serve", kind, str(port)])

    def start_daemon(self, name: str, settings: dict[str, object]) -> None:
        """Start a daemon with `settings`, adding its addresses."""
        complete = {
            "name": name,
            "data_centre": "caerdydd",
            "http": f"127.0.0.1:{self._take_port(name)}",
            "peers": f"127.0.0.1:{self._take_port(name + '/peers')}",
            "table": f"127.0.0.1:{self.port_by_name['table']}",
            "objects": f"127.0.0.1:{self.port_by_name['table']}",
            "timing": {"lease_s": 3, "hold_s": 1, "silence_s": 3, "report_s": 0.25},
            **settings,
        }
        if settings["role"] == "entry":
            port = self._take_port(name + "/claims")
            complete["claims"] = f"127.0.0.1:{port}"
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(complete))
        command = "entry" if settings["role"] == "entry" else "attendant"
        log = str(self.folder / f"{name}.log")
        module = "coltsfoottray.cli.main"
        self._start(name, [module, command, str(path), "--log-file", log])

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run one command to its end."""
        return subprocess.run(
            [sys.executable, "-m", "coltsfoottray.cli.main", *arguments],
            capture_output=True,
            text=True,
            timeout=HANG_S,
            check=False,
        )

    def kill(self, name: str) -> None:
        """Kill one process by its id, as a crash would."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill everything that is left."""
        for name in list(self.process_by_name):
            self.kill(name)

    def ask(
        self, name: str, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Send one request; None where no answer came."""
        url = f"http://127.0.0.1:{self.port_by_name[name]}{path}"
        data = body if method == "POST" else None
        request = urllib.request.Request(url, data, headers, method=method)
        try:
            with urllib.request.urlopen(request, timeout=HANG_S) as response:
                return Answer(status=response.status, body=response.read().decode())
        except urllib.error.HTTPError as error:
            return Answer(status=error.code, body=error.read().decode())
        except OSError:
            return None

    def wait_until(self, what: str, condition: Callable[[], bool]) -> None:
        """Wait for `condition`, which is called again and again."""
        give_up = time.monotonic() + HANG_S
        while not condition():
            if time.monotonic() > give_up:
                raise AssertionError(f"never happened: {what}")
            time.sleep(_POLL_S)

    def _take_port(self, name: str) -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        self.port_by_name[name] = port
        return port

    def _start(self, name: str, arguments: list[str]) -> None:
        errors = (self.folder / f"{name.replace('/', '-')}.err").open("wb")
        self.process_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=errors,
        )
