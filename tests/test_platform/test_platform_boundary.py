"""The provider's wire names are confined to ``ringseam/platform``."""

from __future__ import annotations

import re
from pathlib import Path

import ringseam

ROOT = Path(ringseam.__file__).parent
#: Names that only the provider uses; each pattern covers several spellings.
PROVIDER_NAMES = re.compile(
    r'Attempt-Id|Deadline-Ms|Server-Seal|Not-Executed|Worker-Load|Expect-Instance|Token-Counts'
    r'|Prompt-Prefix|Piece-Key|Request-Urgency|Weight-Versions|/api/|path_prefix|slo_ms|kv_tokens'
    r'|api_keys|heartbeat_addr|max_conns|health_path_|gap_aim',
)
MAX_LINES = 800


def test_provider_names_appear_only_in_the_platform_folder():
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sorted(ROOT.rglob('*.py'))
        if path.parent.name != 'platform'
        for line in path.read_text(encoding='utf-8').splitlines()
        if PROVIDER_NAMES.search(line)
    ]
    assert found == []


def test_platform_folder_is_small_and_stateless():
    sources = [path.read_text(encoding='utf-8') for path in (ROOT / 'platform').glob('*.py')]
    assert sum(len(source.splitlines()) for source in sources) < MAX_LINES
    assert not any(
        re.search(r'\basync |\bself\b|import (time|random|asyncio)', source) for source in sources
    )
