"""What an engine is believed to keep of prompts; a plain class."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.engines.messages import PromptPart


@dataclass(kw_only=True)
class PrefixCache:
    """What is believed of one engine's memory, least recently used first."""

    token_counts: collections.OrderedDict[str, int] = field(default_factory=collections.OrderedDict)
    tokens: int = 0
    #: When the engine was last seen to have read a prompt, or began to read one.
    last_prefill_at: float = float('-inf')

    def touch(self, part: PromptPart, capacity: float) -> list[str]:
        """Remember a part as the newest; return those dropped beyond the memory."""
        self.tokens -= self.token_counts.pop(part.name, 0)
        self.token_counts[part.name] = part.tokens
        self.tokens += part.tokens
        evicted = []
        while self.tokens > capacity and len(self.token_counts) > 1:
            name, tokens = self.token_counts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(name)
        return evicted
