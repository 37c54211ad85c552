"""Claims, and the messages about them between entries."""

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
        The only place to which the request is sent under this claim.
    attempt : int
        Number of the claim; of two claims the one with the higher number is
        newer. An attendant never starts a message whose number is not above a
        cancelled one.
    is_complete : bool
        Whether every member, or the table, has recorded the claim. Nothing is
        sent before that.
    """

    request: RequestId
    entry: EntryId
    incarnation: Incarnation
    place: Place
    attempt: int
    is_complete: bool = False


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that must record every claim, and its address for calls."""

    entry: EntryId
    incarnation: Incarnation
    claims: Address


class Verdict(enum.Enum):
    """Decision of one member on a proposed claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    NOT_MEMBER = "not-member"


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """A claim proposed to a member for recording.

    Parameters
    ----------
    supersedes : Incarnation
        The claimant whose claim may be replaced: it has consented, or it is no
        longer a member and its place has proved that it will not run the request.
    """

    claim: Claim
    supersedes: Incarnation = Incarnation("")


class ClaimVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """A verdict, with the conflicting claim if there is one."""

    verdict: Verdict
    taken: Claim | None = None


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of proposals of one entry."""

    incarnation: Incarnation
    proposals: list[Proposal]


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """The verdicts, in the order of the proposals."""

    verdicts: list[ClaimVerdict]


class ReleaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Release of the claim to a request that was certainly not run.

    Parameters
    ----------
    attempt : int
        The number of the claim. A later claim of the same entry is not released.
        Entries of earlier versions do not send it; their releases have no effect.
    """

    request: RequestId
    incarnation: Incarnation
    attempt: int = 0


class ReleaseReply(msgspec.Struct, frozen=True, kw_only=True):
    """An empty acknowledgement."""


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A joining member's request for all claims, and to be consulted from now on."""

    member: MemberRow


class SyncReply(msgspec.Struct, frozen=True, kw_only=True):
    """Every claim the member holds.

    Parameters
    ----------
    is_member : bool
        Whether the replying entry has joined; if not, its claims may be incomplete.
    has_gap : bool
        Whether the replying entry, not having joined, found that claims may be lost.
    quarantine_s : float
        How much longer the claims of the replying entry are incomplete, in seconds.
    """

    is_member: bool
    has_gap: bool
    quarantine_s: float
    claims: list[Claim]


CLAIM = Call(name="Claim", request_type=ClaimRequest, reply_type=ClaimReply)
RELEASE = Call(name="Release", request_type=ReleaseRequest, reply_type=ReleaseReply)
SYNC = Call(name="Sync", request_type=SyncRequest, reply_type=SyncReply)
