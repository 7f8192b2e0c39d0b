"""Model of an engine's prefix cache, without I/O."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.engines.messages import PromptPart


@dataclass(kw_only=True)
class PrefixCache:
    """Prompt parts that one engine presumably caches, least recently used first."""

    token_counts: collections.OrderedDict[str, int] = field(default_factory=collections.OrderedDict)
    tokens: int = 0
    #: When the engine last finished the prefill of a prompt, or started one while idle.
    last_prefill_at: float = float('-inf')

    def touch(self, part: PromptPart, capacity: float) -> list[str]:
        """Mark a part as most recently used; return the parts that are evicted for it."""
        self.tokens -= self.token_counts.pop(part.name, 0)
        self.token_counts[part.name] = part.tokens
        self.tokens += part.tokens
        evicted = []
        while self.tokens > capacity and len(self.token_counts) > 1:
            name, tokens = self.token_counts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(name)
        return evicted
