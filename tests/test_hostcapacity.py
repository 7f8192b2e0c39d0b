"""What a host has: read from its settings and announced to the other gateways.

Guards against hosts that are taken for equal because their figures are lost on the way, and
against gateways of two versions that can't read each other's state.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.control.backenddirectory import BackendDirectory
from ringseam.errors import FindingsError
from ringseam.followmessages import WatchRequest
from ringseam.gateway.following.follower import Follower
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity, read_capacity
from ringseam.node import Node
from ringseam.rpc import CallClient
from ringseam.settings import read_settings

SETTINGS = """[process]
name = g
key_file = {key}
[gateway]
http = 127.0.0.1:1
ready = 127.0.0.1:2
seeds = 127.0.0.1:3
cluster_ports = 4,5
"""
KEYS = ('host_cpu_share', 'host_cores', 'host_memory_mb', 'host_descriptors', 'host_link_mbps')
SMALL = HostCapacity(cpu_share=0.25, cores=1, memory_bytes=150_500_000, descriptors=1600)


class FormerGatewayState(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The state of a gateway in a version that knows no capacity."""

    name: str
    address: str
    zone: str
    draining: bool = False
    busy: bool = False


def capacity_of(tmp_path, keys):
    key_file = tmp_path / 'key'
    key_file.write_text('k' * 32)
    text = SETTINGS.format(key=key_file) + keys
    return read_capacity(read_settings('gateway', text, path='g.ini').role_options)


def test_capacity_is_read_in_powers_of_ten(tmp_path):
    keys = (
        'host_cpu_share = 0.25\nhost_cores = 1\nhost_memory_mb = 150.5\nhost_descriptors = 1600.4'
    )
    assert capacity_of(tmp_path, keys) == SMALL


@pytest.mark.parametrize('keys', ['', ''.join(f'{key} = 0\n' for key in KEYS)])
def test_absent_and_zero_limits_are_unknown(tmp_path, keys):
    assert capacity_of(tmp_path, keys) is UNKNOWN_CAPACITY


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', 'much', '1e300'])
@pytest.mark.parametrize('key', KEYS)
def test_wrong_limit_is_a_finding_at_its_line(tmp_path, key, text):
    with pytest.raises(FindingsError) as caught:
        capacity_of(tmp_path, f'{key} = {text}\n')
    assert f'g.ini:9: [gateway] {key}:' in str(caught.value)


@given(st.floats(), st.floats())
def test_processor_of_a_message_is_a_usable_weight_or_unknown(share, cores):
    """Guards against a member whose figures would be no weight."""
    processor = HostCapacity(cpu_share=share, cores=cores).processor
    assert 0 <= processor < float('inf')


def follower(capacity):
    node = Node(name='g1', role='gateway', address='1.1.1.1:1', secret=b'x')
    return Follower(
        node=node,
        client=CallClient(node=node),
        addresses=('c1',),
        on_change=lambda: None,
        capacity=capacity,
    )


def test_control_host_passes_the_capacity_to_the_gateways():
    directory = BackendDirectory(epoch='e', started=0, silence_timeout_s=1, gateway_timeout_s=1)
    sent = msgspec.msgpack.encode(WatchRequest(gateway=follower(SMALL).state))
    directory.record_watch(msgspec.msgpack.decode(sent, type=WatchRequest), 0)
    update = msgspec.msgpack.encode(directory.delta(WatchRequest(gateway=follower(SMALL).state), 0))
    states = msgspec.msgpack.decode(update)['gateways']
    assert msgspec.convert(states, tuple[GatewayState, ...])[0].capacity == SMALL


def test_former_version_ignores_the_capacity_and_is_read_without_one():
    state = follower(SMALL).state
    former = msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=FormerGatewayState)
    assert former.address == state.address
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=GatewayState)
    assert read.capacity == UNKNOWN_CAPACITY


def test_unknown_capacity_takes_no_bytes():
    """Without the settings the messages are the bytes of the former version."""
    state = follower(UNKNOWN_CAPACITY).state
    former = FormerGatewayState(name=state.name, address=state.address, zone=state.zone)
    assert msgspec.msgpack.encode(state) == msgspec.msgpack.encode(former)
