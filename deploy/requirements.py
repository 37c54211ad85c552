"""Print the dependencies that pyproject.toml declares, one per line."""

from __future__ import annotations

import tomllib
from pathlib import Path

project = tomllib.loads(Path("pyproject.toml").read_text())["project"]
print("\n".join(project["dependencies"]))
