"""HTTP/1.1 on trio and h11: a server, a pooling client and problem details."""

from __future__ import annotations

from coltsfoottray.http.client import HttpClient
from coltsfoottray.http.common import (
    Handler,
    Headers,
    HttpRequest,
    HttpResponse,
    HttpTransport,
)
from coltsfoottray.http.connection import ConnectionObserver, ExchangeTimeout
from coltsfoottray.http.problem import Outcome, Problem
from coltsfoottray.http.server import HttpServer

__all__ = [
    "ConnectionObserver",
    "ExchangeTimeout",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "HttpTransport",
    "Outcome",
    "Problem",
]
