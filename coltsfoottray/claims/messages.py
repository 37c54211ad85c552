"""Claims, and what entries say to each other about them."""

from __future__ import annotations

import enum

import msgspec

from coltsfoottray.peers import Call
from coltsfoottray.requests import Place
from coltsfoottray.types import Address, EntryId, Incarnation, RequestId

__all__ = [
    "CLAIM",
    "CLAIM_PREFIX",
    "MEMBER_PREFIX",
    "RELEASE",
    "SYNC",
    "Claim",
    "ClaimReply",
    "ClaimRequest",
    "ClaimVerdict",
    "MemberRow",
    "Proposal",
    "ReleaseReply",
    "ReleaseRequest",
    "SyncReply",
    "SyncRequest",
    "Verdict",
]

CLAIM_PREFIX = "claim/"
MEMBER_PREFIX = "member/"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """One entry's claim to a keyed request.

    Parameters
    ----------
    place : Place
        The one place to which the request is or was sent.
    attempt : int
        Of two claims the one with the higher number is the newer one.
        Attendants know a message by it: one that is not above a cancelled
        number never starts.
    is_complete : bool
        Whether every member has recorded it, or the table has. Nothing is
        sent before that.
    """

    request: RequestId
    entry: EntryId
    incarnation: Incarnation
    place: Place
    attempt: int
    is_complete: bool = False


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """An entry whose memory of claims counts, and where it answers."""

    entry: EntryId
    incarnation: Incarnation
    claims: Address


class Verdict(enum.Enum):
    """What one member says to a proposed claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    NOT_MEMBER = "not-member"


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """A claim that asks to be recorded.

    Parameters
    ----------
    supersedes : Incarnation
        The claimant whose claim may be replaced: it has consented, or it is no
        longer a member and its place has proved that it will not run.
    """

    claim: Claim
    supersedes: Incarnation = Incarnation("")


class ClaimVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """A verdict, with the claim that stands in the way."""

    verdict: Verdict
    taken: Claim | None = None


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Proposals of one entry, as many as have gathered."""

    incarnation: Incarnation
    proposals: list[Proposal]


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """The verdicts, in the order of the proposals."""

    verdicts: list[ClaimVerdict]


class ReleaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The claimant gives up a request that was certainly not run."""

    request: RequestId
    incarnation: Incarnation


class ReleaseReply(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing to tell."""


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A new member asks to be asked from now on, and for all claims."""

    member: MemberRow


class SyncReply(msgspec.Struct, frozen=True, kw_only=True):
    """Every claim the member holds.

    Parameters
    ----------
    is_member : bool
        Whether the replier has itself joined; one that has not proves nothing.
    has_gap : bool
        Whether a replier that has not joined knows of claims that may be lost.
    quarantine_s : float
        How much longer the replier's memory is incomplete, in seconds.
    """

    is_member: bool
    has_gap: bool
    quarantine_s: float
    claims: list[Claim]


CLAIM = Call(name="Claim", request_type=ClaimRequest, reply_type=ClaimReply)
RELEASE = Call(name="Release", request_type=ReleaseRequest, reply_type=ReleaseReply)
SYNC = Call(name="Sync", request_type=SyncRequest, reply_type=SyncReply)
