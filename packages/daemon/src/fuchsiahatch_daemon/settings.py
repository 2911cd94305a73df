"""Typed settings of the daemon, made from the checked JSON document."""

import dataclasses
import typing as t

from fuchsiahatch_core.settings import load_schema, load_settings


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """The upstream beside an agent."""

    url: str
    offers: tuple[str, ...]
    limit: int
    queue: str = "fair"
    queue_limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """One rank of a group: its host and where its agent is called."""

    host: str
    rpc_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSettings:
    """The rank group that an agent's engine belongs to."""

    name: str
    rank: int
    members: tuple[GroupMember, ...]
    engine_fences: bool
    window_steps: int
    ahead_steps: int
    heartbeat_ms: int
    call_ms: int
    silence_ms: int
    settle_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process; docs/SETTINGS.md says what each means."""

    role: str
    host: str
    zone: str
    region: str
    http_address: str
    rpc_address: str
    key_value_url: str
    host_list_url: str
    platform_timeout_ms: int
    segment: str
    upstream: UpstreamSettings | None
    log_path: str | None
    group: GroupSettings | None = None


def read_settings(path: str) -> Settings:
    """Read, check and type a settings file.

    Raises
    ------
    SettingsError
        With path, value and what is allowed.
    """
    schema = load_schema("fuchsiahatch_daemon", "settings_schema.json")
    return _typed(load_settings(path, schema))


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _typed(document: dict[str, t.Any]) -> Settings:
    platform = document["platform"]
    return Settings(
        role=document["role"],
        host=document["host"],
        zone=document["zone"],
        region=document["region"],
        http_address=document["listen"]["http_address"],
        rpc_address=document["listen"]["rpc_address"],
        key_value_url=platform["key_value_url"],
        host_list_url=platform["host_list_url"],
        platform_timeout_ms=platform.get("timeout_ms", 1_000),
        segment=document.get("segment", "main"),
        upstream=_typed_upstream(document.get("upstream")),
        log_path=document.get("log_path"),
        group=_typed_group(document.get("group")),
    )


def _typed_upstream(document: dict[str, t.Any] | None) -> UpstreamSettings | None:
    if document is None:
        return None
    return UpstreamSettings(
        url=document["url"],
        offers=tuple(document["offers"]),
        limit=document.get("limit", 32),
        queue=document.get("queue", "fair"),
        queue_limit=document.get("queue_limit"),
    )


def _typed_group(document: dict[str, t.Any] | None) -> GroupSettings | None:
    if document is None:
        return None
    return GroupSettings(
        name=document["name"],
        rank=document["rank"],
        members=tuple(GroupMember(**member) for member in document["members"]),
        engine_fences=document["engine_fences"],
        window_steps=document.get("window_steps", 256),
        ahead_steps=document.get("ahead_steps", 1_024),
        heartbeat_ms=document.get("heartbeat_ms", 500),
        call_ms=document.get("call_ms", 500),
        silence_ms=document.get("silence_ms", 2_000),
        settle_ms=document.get("settle_ms", 2_000),
    )
