"""Settings: YAML files, validated before the daemon starts."""

from __future__ import annotations

from coltsfoottray.settings.loader import SettingsError, load_deployment, load_settings
from coltsfoottray.settings.models import (
    DaemonSettings,
    Deployment,
    EntrySettings,
    JobAttendantSettings,
    JobDaemonSettings,
    JobEntrySettings,
    LimitSettings,
    LogSettings,
    OverloadSettings,
    TimingSettings,
    UpstreamSettings,
    WorkerSettings,
)

__all__ = [
    "DaemonSettings",
    "Deployment",
    "EntrySettings",
    "JobAttendantSettings",
    "JobDaemonSettings",
    "JobEntrySettings",
    "LimitSettings",
    "LogSettings",
    "OverloadSettings",
    "SettingsError",
    "TimingSettings",
    "UpstreamSettings",
    "WorkerSettings",
    "load_deployment",
    "load_settings",
]
