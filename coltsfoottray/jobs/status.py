"""The status of a daemon for jobs, as operators query it."""

from __future__ import annotations

import msgspec

__all__ = ["JobDaemonStatus"]


class JobDaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon for jobs believes.

    Parameters
    ----------
    config_version : int
        Version of the config in force, 0 if the daemon has none.
    is_scheduler : bool
        Whether the daemon is the scheduler.
    evacuated : list of str
        The evacuated data centres.
    operator_rows_age_s : float
        Age in seconds of what the daemon knows of the config and of evacuations.
    """

    daemon: str
    config_version: int = 0
    is_scheduler: bool = False
    evacuated: list[str] = []
    operator_rows_age_s: float = 0.0
