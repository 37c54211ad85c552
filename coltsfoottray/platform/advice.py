"""Client of the platform's service that decides which workers a queue may use."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from coltsfoottray.clock import as_duration
from coltsfoottray.decoding import MalformedData, decode_json
from coltsfoottray.errors import CommunicationError, ExchangeStep
from coltsfoottray.http import HttpRequest, HttpTransport
from coltsfoottray.jobs.model import AdviceTerms, JobId
from coltsfoottray.scheduler.advice import Adviser, Permit
from coltsfoottray.types import Address

__all__ = ["AdviceClient"]

# In addition to the times in the queue's terms: the network round trip, and a request
# of another daemon on this VM that is answered first.
_SLACK = timedelta(seconds=1)


# Of up to 100 workers, each with a ticket.
_MAX_ANSWER_BYTES = 1024 * 1024


class _Answer(msgspec.Struct):
    # Each row holds a worker's id and its ticket.
    allowed: list[list[str]] = msgspec.field(default_factory=list)


class AdviceClient(Adviser):
    """Asks the service over HTTP."""

    def __init__(self, *, address: Address, transport: HttpTransport) -> None:
        self._address = address
        self._transport = transport

    async def advise(  # noqa: D102
        self,
        *,
        job: JobId,
        occurrence: int,
        step: int,
        lives: list[str],
        terms: AdviceTerms,
    ) -> list[Permit]:
        life_by_id = {life.split("/")[0]: life for life in lives}
        body = {"step": f"{job}.{occurrence}.{step}", "workers": list(life_by_id)}
        request = HttpRequest(
            method="POST",
            target="/v1/advise",
            header_by_name={"content-type": "application/json"},
            body=msgspec.json.encode(body),
            max_answer_bytes=_MAX_ANSWER_BYTES,
        )
        expected = as_duration(terms.decision_ms + terms.per_worker_ms * len(lives))
        response = await self._transport.send(
            self._address, request, timeout=2 * expected + _SLACK
        )
        if response.status != 200:
            raise self._failed(f"status {response.status}")
        try:
            answer = decode_json(response.body, _Answer)
        except MalformedData as error:
            raise self._failed(str(error)) from error
        return [
            Permit(life=life_by_id[row[0]], ticket=row[1])
            for row in answer.allowed
            if len(row) > 1 and row[0] in life_by_id
        ]

    def _failed(self, detail: str) -> CommunicationError:
        return CommunicationError(
            step=ExchangeStep.RECEIVE, peer=f"adviser {self._address}", detail=detail
        )
