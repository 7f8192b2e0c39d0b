"""Choice of a backend server: a scored minimum over what is known of each."""

from __future__ import annotations

import abc
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.health import HealthBook, Standing
    from ringseam.platform.requests import PromptPart

#: Prompt tokens that an engine reads in a second, from the users' sheets.
READ_TOKENS_PER_S = 32_400.0
#: A running request slows the first token of another by this, seconds; the
#: sheets name 23 microseconds a step and a few hundred steps in a queue.
_RUNNING_S = 0.004
#: A waiting request stands for this much work before ours, seconds.
_WAITING_S = 0.1
#: A request in another availability zone costs this, seconds: the way there
#: and back, and the price of its bytes.
_OTHER_ZONE_S = 0.004
#: A result's byte that comes from another zone costs this, seconds: by the
#: prices of the users' sheets 3.6 MB cost a quarter of a mean request, which
#: stands for a fifth of its objective here.
_OTHER_ZONE_S_PER_BYTE = 0.05e-6
#: A plain request takes this long where nothing was measured, seconds.
_PLAIN_S = 0.02
#: What a server has told of its load fades over this time, seconds.
_TOLD_S = 2.0
#: A part of a prompt is believed to be cached for this long, seconds.
_CACHED_S = 12.0
_PARTS_KEPT = 4096
#: What an ejected server costs, seconds: it is taken only when all are.
_EJECTED_S = 1000.0


@dataclass(frozen=True, kw_only=True)
class Need:
    """What a request needs, as far as the choice depends on it."""

    zone: str
    prompt_tokens: int = 0
    #: Bytes of stage results by availability zone, which an engine fetches.
    result_bytes: Mapping[str, int] = field(default_factory=dict)
    prefix: tuple[PromptPart, ...] = ()


class Choice(abc.ABC):
    """Choose one of the servers that may serve a request."""

    def __init__(self, *, health: HealthBook) -> None:
        """Judge servers by ``health``."""
        self.health = health

    def choose(
        self,
        servers: Collection[BackendReport],
        need: Need,
        now: float,
    ) -> BackendReport | None:
        """Return the best of ``servers``, or None when there is none."""
        if not servers:
            return None
        return min(servers, key=lambda server: self._full_cost(server, need, now))

    @abc.abstractmethod
    def cost(self, server: BackendReport, need: Need, now: float) -> float:
        """Return the expected seconds until an answer begins."""

    def _full_cost(self, server: BackendReport, need: Need, now: float) -> tuple[float, str]:
        cost = self.cost(server, need, now)
        standing = self.health.of(server.instance)
        if now < standing.ejected_until:
            cost += _EJECTED_S
        if server.zone != need.zone:
            cost += _OTHER_ZONE_S
        return (cost, server.instance)


class PlainChoice(Choice):
    """For services whose requests are short and alike."""

    def cost(self, server: BackendReport, need: Need, now: float) -> float:
        """Return the measured latency, stretched by the load."""
        standing = self.health.of(server.instance)
        load = max(standing.in_flight, _told(standing, now))
        latency = standing.latency_s or _PLAIN_S
        return latency * (1 + max(0, load + 1 - server.slots / 2) / server.slots) + load * 1e-4


@dataclass(kw_only=True)
class CacheMemory:
    """Parts of prompts that were sent to each server, and when."""

    sent: dict[tuple[BackendId, str], float] = field(default_factory=dict)

    def note(self, instance: BackendId, prefix: tuple[PromptPart, ...], now: float) -> None:
        """Remember that a server reads these parts now."""
        for part in prefix:
            self.sent.pop((instance, part.name), None)
            self.sent[instance, part.name] = now
        while len(self.sent) > _PARTS_KEPT:
            self.sent.pop(next(iter(self.sent)))

    def cached_tokens(
        self,
        instance: BackendId,
        prefix: tuple[PromptPart, ...],
        now: float,
    ) -> int:
        """Return how many leading tokens a server should still keep."""
        tokens = 0
        for part in prefix:
            if now - self.sent.get((instance, part.name), float('-inf')) > _CACHED_S:
                break
            tokens += part.tokens
        return tokens


class EngineChoice(Choice):
    """For model engines: predicted time to the first token.

    Where nothing is known, all gateways expect a prompt's shared parts at the
    same server: the first by rendezvous hashing of the last shared part.
    """

    def __init__(self, *, health: HealthBook) -> None:
        """Begin without a memory of prompts."""
        super().__init__(health=health)
        self.memory = CacheMemory()
        self.home: BackendId | None = None

    def choose(
        self,
        servers: Collection[BackendReport],
        need: Need,
        now: float,
    ) -> BackendReport | None:
        """Return the server with the earliest first token."""
        self.home = None
        if need.prefix and servers:
            self.home = rendezvous(
                _shared_name(need.prefix),
                [server.instance for server in servers],
            )
        return super().choose(servers, need, now)

    def cost(self, server: BackendReport, need: Need, now: float) -> float:
        """Return the time to read what isn't cached after what waits."""
        standing = self.health.of(server.instance)
        unread = self.unread_tokens(server.instance, need, now)
        running = max(standing.in_flight, _told(standing, now))
        reading = (standing.tokens_waiting + unread) / READ_TOKENS_PER_S
        waiting = standing.told_waiting * _WAITING_S if _is_fresh(standing, now) else 0
        fetched = sum(
            amount for zone, amount in need.result_bytes.items() if zone != server.zone
        )
        begin = max(1, standing.slowness) * (reading + running * _RUNNING_S)
        return begin + waiting + fetched * _OTHER_ZONE_S_PER_BYTE

    def unread_tokens(self, instance: BackendId, need: Need, now: float) -> int:
        """Return how many prompt tokens a server would have to read."""
        cached = self.memory.cached_tokens(instance, need.prefix, now)
        if instance == self.home:
            shared = sum(part.tokens for part in need.prefix[:-1])
            cached = max(cached, shared // 2)
        return max(0, need.prompt_tokens - cached)


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the name that highest-random-weight hashing gives to ``key``.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme", 1998.
    """
    return max(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()


def _shared_name(prefix: tuple[PromptPart, ...]) -> str:
    return prefix[-2].name if len(prefix) > 1 else prefix[-1].name


def _is_fresh(standing: Standing, now: float) -> bool:
    return now - standing.told_at <= _TOLD_S


def _told(standing: Standing, now: float) -> float:
    if not _is_fresh(standing, now):
        return 0
    return standing.told_running + standing.told_waiting
