"""What an engine is believed to keep of prompts; a plain class."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.engines.messages import PlacedPart


@dataclass(kw_only=True)
class EngineBook:
    """What is believed of one engine's memory, least recently used first."""

    parts: collections.OrderedDict[str, int] = field(default_factory=collections.OrderedDict)
    tokens: int = 0
    #: When the engine was last seen to have read a prompt, or began to read one.
    read_at: float = float('-inf')

    def use(self, part: PlacedPart, capacity: float) -> list[str]:
        """Remember a part as the newest; return those dropped beyond the memory."""
        self.tokens -= self.parts.pop(part.name, 0)
        self.parts[part.name] = part.tokens
        self.tokens += part.tokens
        dropped = []
        while self.tokens > capacity and len(self.parts) > 1:
            name, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            dropped.append(name)
        return dropped
