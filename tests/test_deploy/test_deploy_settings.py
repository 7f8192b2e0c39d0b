"""The settings templates, rendered with any numbers that the platform may supply."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ringseam.errors import FindingsError
from ringseam.settings import read_settings

ROOT = Path(__file__).parent.parent.parent
ROLES = ('gateway', 'control')
_PLACEHOLDER = re.compile(r'\{\{([a-z_.0-9]+)\}\}')
#: A table section that renders each entry as ``key=value``.
_TABLE = re.compile(r'\{\{#([a-z_]+)\}\}\{\{@\}\}=\{\{\.\}\}\{\{,\}\}\{\{/\1\}\}')
_SECTION = re.compile(r'\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/\2\}\}')

ZONES = {'hall-a': 'thies', 'server room': 'thies', 'Klang': 'selangor'}

#: Platform values that tests keep fixed; numeric values are drawn.
PLATFORM_VALUES = {
    'node_name': 'front-hall-a-1',
    'zone': 'hall-a',
    'region': 'thies',
    'ip': '10.1.0.41',
    'port_range': '7740,7755',
    'port_range.0': '7740',
    'seeds': '10.1.0.42:8628,10.2.0.26:8628',
    'listen.front': '10.1.0.41:8625',
    'listen.ready': '10.1.0.41:8621',
    'listen.control': '10.1.0.41:8628',
    'data_dir': '/data/my-core',
    'bootstrap': 'true',
    'contracts': 'base,drain',
    'limits.cpu_share': '0.817',
    'limits.cores': '1',
    'limits.memory_mb': '300',
    'limits.max_fds': '4100',
    'limits.link_mbps': '1000.0',
}


def number_texts(low, high):
    """Draw integers and fractions as text."""
    integers = st.integers(low, high)
    fractions = st.floats(low, high, allow_nan=False, width=32)
    return st.one_of(integers, fractions).map(str)


DRAWN_VALUES = st.fixed_dictionaries(
    {
        'bounds.retry_slack': number_texts(0, 100_000),
        'bounds.retry_ratio': number_texts(0, 3),
        'bounds.retry_window_s': number_texts(0, 600),
        'bounds.grace_s': number_texts(0, 600),
        'bounds.cold_over': st.one_of(st.just(''), number_texts(0, 100)),
        'bounds.cold_slack': st.one_of(st.just(''), number_texts(0, 1000)),
        'limits.cpu_share': st.one_of(st.just(''), number_texts(0, 16)),
        'limits.cores': st.one_of(st.just(''), number_texts(0, 256)),
        'limits.memory_mb': st.one_of(st.just(''), number_texts(0, 1_000_000)),
        'limits.max_fds': st.one_of(st.just(''), number_texts(0, 1_000_000)),
        'limits.link_mbps': st.one_of(st.just(''), number_texts(0, 100_000)),
        'heartbeat_ms': number_texts(100, 60_000),
        'fault_tolerance.machines': st.integers(0, 10).map(str),
        'bootstrap': st.sampled_from(('true', 'false')),
    },
)


def render_template(role, platform_values):
    """Render a template by the platform's rules for values, tables and boolean sections."""
    text = (ROOT / 'deploy' / f'{role}.ini').read_text(encoding='utf-8')

    def replace_section(match):
        sign, name, inner = match.groups()
        return inner if (platform_values.get(name) == 'true') == (sign == '#') else ''

    def replace_table(match):
        assert match[1] == 'zones'
        return ','.join(f'{zone}={region}' for zone, region in ZONES.items())

    text = _SECTION.sub(replace_section, _TABLE.sub(replace_table, text))
    return _PLACEHOLDER.sub(lambda match: platform_values[match[1]], text)


@pytest.mark.parametrize('role', ROLES)
@given(drawn=DRAWN_VALUES)
@example(
    drawn={
        'bounds.retry_slack': '38.26086956521739',
        'bounds.retry_ratio': '0.15',
        'bounds.retry_window_s': '9.5',
        'bounds.grace_s': '7.25',
        'bounds.cold_over': '1.5',
        'bounds.cold_slack': '',
        'limits.cpu_share': '0.2925',
        'limits.cores': '1',
        'limits.memory_mb': '160.5',
        'limits.max_fds': '1638.4',
        'limits.link_mbps': '3.75',
        'heartbeat_ms': '1200.5',
        'fault_tolerance.machines': '2',
        'bootstrap': 'false',
    },
)
def test_any_numbers_of_the_platform_are_accepted(role, drawn):
    """Guards against a fractional ``retry_slack`` that stopped every gateway of a fleet."""
    settings = read_settings(
        role, render_template(role, PLATFORM_VALUES | drawn), path='settings.conf'
    )
    assert settings.process['zones'] == ZONES
    if role == 'gateway':
        assert settings.role_options['retry_slack'] == float(drawn['bounds.retry_slack'])
        assert settings.role_options['retry_ratio'] == float(drawn['bounds.retry_ratio'])
        assert settings.role_options['retry_window_s'] == float(drawn['bounds.retry_window_s'])
        assert settings.role_options['grace_s'] == float(drawn['bounds.grace_s'])
        assert settings.role_options['cold_over'] == float(drawn['bounds.cold_over'] or 1.5)
        assert settings.role_options['cold_slack'] == float(drawn['bounds.cold_slack'] or 5)
        assert settings.role_options['host_memory_mb'] == float(drawn['limits.memory_mb'] or 0)
        assert settings.role_options['host_link_mbps'] == float(drawn['limits.link_mbps'] or 0)
    else:
        assert settings.role_options['backend_report_ms'] == float(drawn['heartbeat_ms'])
        assert settings.role_options['tolerated_losses'] == int(drawn['fault_tolerance.machines'])
        assert settings.role_options['may_found'] == (drawn['bootstrap'] == 'true')


@pytest.mark.parametrize('text', ['many', 'nan', 'inf', '-1', '1e400', '0,2'])
def test_unusable_number_is_a_finding_with_its_line(text):
    platform_values = PLATFORM_VALUES | {
        'bounds.retry_slack': text,
        'bounds.retry_ratio': '0.2',
        'bounds.retry_window_s': '10',
        'bounds.grace_s': '8',
        'bounds.cold_over': '',
        'bounds.cold_slack': '',
        'fault_tolerance.machines': '2',
    }
    with pytest.raises(FindingsError) as caught:
        read_settings('gateway', render_template('gateway', platform_values), path='settings.conf')
    finding = caught.value.findings[0]
    assert finding.key == 'retry_slack'
    assert finding.line > 0
    assert text in finding.message
