"""Steps about proposals of claims to one member."""

from __future__ import annotations

import trio
from behave import given, then, when
from trio.testing import MockClock

from coltsfoottray.claims import Claim
from coltsfoottray.claims.batcher import ProposalBatcher
from coltsfoottray.claims.messages import (
    ClaimReply,
    ClaimVerdict,
    Proposal,
    Verdict,
)
from coltsfoottray.clock import TrioClock
from coltsfoottray.requests import Place
from coltsfoottray.types import (
    Address,
    AttendantId,
    EntryId,
    Incarnation,
    RequestId,
)

_GRANTED = ClaimVerdict(verdict=Verdict.GRANTED)


class _Members:
    def address_of(self, entry):
        return Address(host="127.0.0.1", port=1)


class _Peers:
    """A member that answers at most a number of the proposals in a call."""

    def __init__(self, answered: int) -> None:
        self._answered = answered

    async def call(self, address, call, request, *, timeout):
        await trio.sleep(0.01)
        count = min(self._answered, len(request.proposals))
        return ClaimReply(verdicts=[_GRANTED] * count)


@given("a member that answers {answered:d} of {count:d} proposals")
def make_member(context, answered, count):
    context.peers = _Peers(answered)
    context.count = count


@when("{count:d} proposals are sent to it at once, and 1 after them")
def send(context, count):
    trio.run(_send, context, count, clock=MockClock(autojump_threshold=0))


async def _send(context, count):
    batcher = ProposalBatcher(
        entry=EntryId("entry-2"),
        incarnation=Incarnation("i-1"),
        members=_Members(),
        peers=context.peers,
        clock=TrioClock(),
    )
    verdicts = {}

    async def propose(number):
        verdicts[number] = await batcher.propose(_proposal(number))

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as first:
            for number in range(count):
                first.start_soon(propose, number)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(batcher.run)
        await propose(count)
        nursery.cancel_scope.cancel()
    context.verdicts = verdicts


def _proposal(number):
    claim = Claim(
        request=RequestId(f"r-{number}"),
        entry=EntryId("entry-1"),
        incarnation=Incarnation("i-1"),
        place=Place(
            attendant=AttendantId("a"),
            incarnation=Incarnation("p"),
            address=Address(host="127.0.0.1", port=2),
        ),
        attempt=1,
    )
    return Proposal(claim=claim)


@then("none of the first {count:d} has a verdict")
def check_first(context, count):
    assert [context.verdicts[number] for number in range(count)] == [None] * count


@then("the proposal after them has one")
def check_last(context):
    assert context.verdicts[context.count] == _GRANTED
