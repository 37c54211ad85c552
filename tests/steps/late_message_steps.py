"""Steps about messages that arrive after later ones of the same sender."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import trio
from behave import given, then, when

from coltsfoottray.claims.messages import CLAIM_PREFIX, Claim, ClaimRequest, SyncRequest
from coltsfoottray.types import RequestId
from standins.fabric import REQUEST_DELAY_S

_STEP_S = 0.0001


@given('the next "{call}" that {entry} is sent is late')
def delay_call(context, call, entry):
    cell = context.world.cell
    address = cell.entry_by_name[entry].claim_members.own_row().claims
    listener = context.world.fabric.listener_by_address[address]
    serve = listener._serve
    context.delayed = []

    async def serve_late(request):
        if request.path.endswith(f"/{call}") and not context.delayed:
            context.delayed.append(request)
            await trio.sleep(REQUEST_DELAY_S)
        return await serve(request)

    listener._serve = serve_late


@when("one instance accepts requests, not named by the late proposal or the table")
def accept_elsewhere(context):
    cell = context.world.cell
    (message,) = context.delayed
    proposal = msgspec.msgpack.decode(message.body, type=ClaimRequest).proposals[0]
    row = cell.table.row_by_key[CLAIM_PREFIX + proposal.claim.request]
    places = (proposal.claim.place, row.decode(Claim).place)
    named = {place.attendant for place in places}
    (other,) = set(cell.upstream_by_name) - named
    cell.upstream_by_name[other].attendant.is_draining = False


@when('entry-1 is paused as soon as entry-2 has recorded its claim to "{key}"')
def pause_claimant(context, key):
    world = context.world
    claims = world.cell.entry_by_name["entry-2"].claims
    request = RequestId(f"arolwg/{key}")
    world.wait_until(lambda: claims.find(request) is not None, step_s=_STEP_S)
    world.fabric.faults("entry-1").pause()


@when('the place of "{key}" answers only after entry-1 has left')
def pause_place(context, key):
    world = context.world
    claims = world.cell.entry_by_name["entry-2"].claims
    claim = claims.find(RequestId(f"arolwg/{key}"))
    world.fabric.faults(claim.place.attendant).pause()
    world.wait_until(lambda: claims.has_claimant_left(claim))
    world.resume(claim.place.attendant)


@when("the time of day of {entry} goes back by {seconds:d} s")
def turn_back_clock(context, entry, seconds):
    faults = context.world.fabric.faults(entry)
    faults.time_of_day_offset = timedelta(seconds=-seconds)


@when("entry-2 restarts within {ms:d} ms and has joined")
def restart_entry(context, ms):
    world = context.world
    context.earlier_member = world.cell.entry_by_name["entry-2"].claim_members.own_row()
    world.kill("entry-2")
    world.advance(ms / 1000)
    world.run(world.cell.start_entry, "entry-2")
    members = world.cell.entry_by_name["entry-2"].claim_members
    world.wait_until(lambda: members.is_joined)


@when("the message with which entry-2 joined before arrives at entry-1 once more")
def repeat_sync(context):
    members = context.world.cell.entry_by_name["entry-1"].claim_members
    request = SyncRequest(member=context.earlier_member)
    context.world.run(members.handle_sync, request)


@then("each entry asks every other before it claims a key")
def check_members(context):
    entries = context.world.cell.entry_by_name.values()
    for entry in entries:
        for other in entries:
            assert entry.claim_members.is_member(other.incarnation), other.daemon_id
