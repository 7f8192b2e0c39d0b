"""The provider's names stay in one folder."""

from __future__ import annotations

import re
from pathlib import Path

import ringseam

ROOT = Path(ringseam.__file__).parent
#: Names that the provider alone uses; each stands for several spellings.
NAMES = re.compile(
    r'Attempt-Id|Deadline-Ms|Server-Seal|Not-Executed|Worker-Load|Expect-Instance|Token-Counts'
    r'|Prompt-Prefix|Piece-Key|Request-Urgency|Weight-Versions|/api/|path_prefix|slo_ms|kv_tokens'
    r'|api_keys|heartbeat_addr|max_conns|health_path_|gap_aim',
)
MOST_LINES = 800


def test_names_of_the_provider_stand_in_the_platform_folder_only():
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sorted(ROOT.rglob('*.py'))
        if path.parent.name != 'platform'
        for line in path.read_text(encoding='utf-8').splitlines()
        if NAMES.search(line)
    ]
    assert found == []


def test_folder_stays_small_and_keeps_no_state():
    sources = [path.read_text(encoding='utf-8') for path in (ROOT / 'platform').glob('*.py')]
    assert sum(len(source.splitlines()) for source in sources) < MOST_LINES
    assert not any(
        re.search(r'\basync |\bself\b|import (time|random|asyncio)', one) for one in sources
    )
