"""Short names for the images that callers name.

A caller may give an image a name of any length and of any characters. The name only
tells which tasks behave alike; it goes into rows of the table and into messages once
for each pair of images that has been measured, so a long one is replaced by a digest.
"""

from __future__ import annotations

import hashlib
import re

__all__ = ["MAX_NAME_BYTES", "shorten_name"]

MAX_NAME_BYTES = 80
# Characters that take one byte in JSON.
_PLAIN = re.compile(rf"[ !#-\[\]-~]{{0,{MAX_NAME_BYTES}}}")
_NOT_PLAIN = re.compile(r"[^ !#-\[\]-~]")
_PREFIX_LENGTH = 40
_DIGEST_LENGTH = 32


def shorten_name(name: str) -> str:
    """Return a name of at most `MAX_NAME_BYTES` bytes as JSON for an image.

    A short name of plain characters is returned as it is; any other is replaced by its
    beginning and a digest of all of it.
    """
    if _PLAIN.fullmatch(name):
        return name
    prefix = _NOT_PLAIN.sub("", name[:_PREFIX_LENGTH])
    digest = hashlib.sha256(name.encode(errors="surrogatepass")).hexdigest()
    return f"{prefix}~{digest[:_DIGEST_LENGTH]}"
