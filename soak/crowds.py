"""Crowds of clients that keep to no limits."""

from __future__ import annotations

from functools import partial

import trio

from coltsfoottray.types import Address

__all__ = ["send_crowd"]

_CLIENTS = 40
_LARGE_BYTES = 8_000_000
_PART = b"x" * 65_536
_STEPS = b'{"spec":"x","steps":[' + b",".join([b"{}"] * 15_000) + b"]}"


def _head(path: str, line: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nhost: jobs.example\r\n{line}\r\n\r\n".encode()


def _make_parts(path: str, number: int) -> list[bytes]:
    """Return what each client of the crowd that `number` selects sends."""
    parts = _LARGE_BYTES // len(_PART)
    chunk = b"%x\r\n%s\r\n" % (len(_PART), _PART)
    variants: tuple[list[bytes], ...] = (
        [_head(path, f"content-length: {_LARGE_BYTES}"), *[_PART] * parts],
        [_head(path, "transfer-encoding: chunked"), *[chunk] * parts],
        [],
        [_head(path, "x: " + "y" * 15_000)[:-4]],
        [_head(path, f"content-length: {len(_STEPS)}"), _STEPS],
    )
    return variants[number % len(variants)]


async def send_crowd(
    address: Address, path: str, number: int, duration_s: float
) -> None:
    """Send a crowd that stays for a while, unless it is turned away."""
    parts = _make_parts(path, number)
    with trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            for _ in range(_CLIENTS):
                nursery.start_soon(partial(_send, address, parts))


async def _send(address: Address, parts: list[bytes]) -> None:
    try:
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            for part in parts:
                await stream.send_all(part)
            await trio.sleep_forever()
    except (OSError, trio.BrokenResourceError):
        # It was turned away, or the program is down.
        return
