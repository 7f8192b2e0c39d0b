"""Admission with reservations under load, in virtual time with the real classes of gateways.

Loads and failures: bursts of twice the capacity of the scarcest service, once and on a wave; the
gateway that forms the batches is lost in a burst; messages between gateways are lost.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import logging
import random

import pytest

from ringseam.errors import UnreachableError
from ringseam.features import Feature
from ringseam.gateway.reservations.book import ReservationEnd
from ringseam.gateway.reservations.messages import RESERVE, WITHDRAW
from ringseam.model.clients import RequestEnd
from ringseam.model.experiment import Experiment
from ringseam.model.pattern import read_pattern
from ringseam.model.virtualtime import run_virtual

OBJECTIVE_S = 2.0
TIMEOUT_S = 8
#: The first service processes 20 requests per second at full calls.
PATTERN = """
[pattern]
seconds = {seconds}
zones = 1
gateways = 4
clump = 2

[service engine]
servers = 6
read_tokens_per_s = 38400
memory_tokens = 343000

[service crops]
servers = 3
batch = 5
call_s = 0.2
piece_s = 0.0336

[service index]
servers = 3
batch = 20
call_s = 0.2
piece_s = 0.00852

[service sort]
servers = 3
batch = 33
call_s = 0.2
piece_s = 0.0052

[route r]
service = engine
per_s = 9
objective_s = 2
timeout_s = 8
events = 4
prompt = 400

[stage r 0]
service = crops
pieces = 2

[stage r 1]
service = index
after = 0
pieces = 6

[stage r 2]
service = sort
after = 1
pieces = 10
"""
BURST = """
[event {name}]
kind = burst
of = r
at = {at}
for_s = {for_s}
factor = {factor}
"""
PATTERNS = {
    'burst': PATTERN.format(seconds=10) + BURST.format(name='b', at=2, for_s=5, factor=4.5),
    'wave': PATTERN.format(seconds=16)
    + ''.join(BURST.format(name=f'w{at}', at=at, for_s=2, factor=4.5) for at in (2, 6, 10)),
}


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@dataclasses.dataclass(kw_only=True)
class Refused:
    """A refused attempt."""

    waited_s: float
    detail: str


@dataclasses.dataclass(kw_only=True)
class Results:
    """What clients got, and what each attempt was told."""

    outcomes: list
    refused: list
    messages: collections.Counter
    books: list

    def count(self, *ends):
        return sum(outcome.end in ends for outcome in self.outcomes)

    @property
    def held(self):
        """Return attempts that were held over a quarter of the objective and then refused."""
        return [one for one in self.refused if one.waited_s > OBJECTIVE_S / 4]


class LossyNetwork:
    """Counts the calls between gateways, and loses some of them."""

    def __init__(self, network, *, share=0.0, methods=()):
        self.network = network
        self.share = share
        self.methods = methods
        self.random = random.Random(3)
        self.calls = collections.Counter()
        self.zone_s = network.zone_s

    async def call(self, address, method, message, *, timeout_s):
        self.calls[method] += 1
        if method in self.methods and self.random.random() < self.share:
            raise UnreachableError('lost')
        return await self.network.call(address, method, message, timeout_s=timeout_s)


def record_refusals(gateway, clock, refused):
    refuse = gateway.forwarder.responder.refuse

    async def record(exchange, request, detail, **fields):
        waited_s = clock.now() - exchange.request.arrived
        refused.append(Refused(waited_s=waited_s, detail=detail))
        await refuse(exchange, request, detail, **fields)

    gateway.forwarder.responder.refuse = record


def enable_reservations(gateway):
    gateway.forwarder.switch.settings = frozenset({Feature.reserved_admission})
    # Reservations go through the network that loses messages.
    gateway.forwarder.policy = gateway.forwarder._create_policy()


class RecordedExperiment(Experiment):
    """Keeps what clients got."""

    def _summary(self, outcomes):
        self.outcomes = outcomes
        return super()._summary(outcomes)


def lose_owner(experiment, service):
    """Let the owner of a service crash: clients and gateways go to the others."""
    lost = next(
        gateway for gateway in experiment.gateways if not gateway.pieces.ownership.owner_of(service)
    )
    for address, path in list(experiment.network.handlers):
        if address == lost.node.address:
            experiment.network.handlers.pop((address, path))
    experiment.gateways.remove(lost)
    states = tuple(gateway.state for gateway in experiment.gateways)
    for gateway in (lost, *experiment.gateways):
        gateway.set_gateways(states)
        gateway.piece_scheduler.refresh()


def play(pattern_text, *, enabled=True, share=0.0, methods=(), lost_owner_at=None, seed=1):
    pattern = read_pattern(pattern_text, path='p.ini')

    async def main(clock):
        experiment = RecordedExperiment(pattern=pattern, seed=seed, clock=clock)
        network = LossyNetwork(experiment.network, share=share, methods=methods)
        gateways = list(experiment.gateways)
        refused = []
        for gateway in gateways:
            record_refusals(gateway, clock, refused)
            gateway.pieces.client = network
            if enabled:
                enable_reservations(gateway)
        if lost_owner_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(lost_owner_at, lose_owner, experiment, 'crops')
        await experiment.run()
        # Reservations that are still held expire by themselves, at the latest after the time
        # limit of their clients.
        clock.advance(TIMEOUT_S + 2)
        for gateway in gateways:
            gateway.pieces.reservations.expire()
        return Results(
            outcomes=experiment.outcomes,
            refused=refused,
            messages=network.calls,
            books=[
                state.book
                for gateway in gateways
                for state in gateway.piece_scheduler.services.values()
            ],
        )

    return run_virtual(main)


@functools.cache
def played(name, *, enabled=True, lost_owner_at=None, seed=1):
    return play(PATTERNS[name], enabled=enabled, lost_owner_at=lost_owner_at, seed=seed)


@pytest.mark.parametrize('name', ['burst', 'wave'])
def test_burst_of_twice_the_capacity_is_served_in_time_or_refused_at_once(name):
    """As many clients as before are served in time, fewer late, and few wait in vain."""
    former, found = played(name, enabled=False), played(name)
    in_time, late = found.count(RequestEnd.on_time), found.count(RequestEnd.late)
    assert in_time >= 0.95 * former.count(RequestEnd.on_time)
    assert late < former.count(RequestEnd.late)
    assert in_time > 0.9 * (in_time + late)
    assert len(found.held) < 0.05 * len(found.refused)
    assert len(found.held) < len(former.held)


@pytest.mark.parametrize('name', ['burst', 'wave'])
def test_few_refusals_come_after_a_wait_whatever_the_arrivals(name):
    """A queue gives up what is late for its stage; admission must know of it before."""
    results = [played(name, seed=seed) for seed in (1, 2, 3, 4)]
    held = sum(len(found.held) for found in results)
    assert held < 0.05 * sum(len(found.refused) for found in results)


@pytest.mark.parametrize('name', ['burst', 'wave'])
def test_hopeless_requests_are_refused_within_50_ms(name):
    at_once = [one.waited_s for one in played(name).refused if 'predicted' in one.detail]
    assert len(at_once) > 100
    assert sorted(at_once)[int(0.99 * len(at_once))] < 0.05


def test_loss_of_the_owner_in_a_burst_costs_few_requests():
    """Its reservations are lost, and those of its requests are free again."""
    former = played('burst', enabled=False, lost_owner_at=4)
    found = played('burst', lost_owner_at=4)
    assert found.count(RequestEnd.on_time) >= 0.9 * former.count(RequestEnd.on_time)
    assert found.count(RequestEnd.late) < former.count(RequestEnd.late)
    assert not any(book.reserved for book in found.books)


def test_lost_messages_leave_no_reservation_and_cost_few_requests():
    former = played('burst', enabled=False)
    found = play(PATTERNS['burst'], share=0.3, methods=(RESERVE, WITHDRAW))
    assert found.count(RequestEnd.on_time) >= 0.9 * former.count(RequestEnd.on_time)
    assert sum(book.ended[ReservationEnd.expired] for book in found.books) > 0
    assert not any(book.reserved for book in found.books)


def test_without_the_feature_no_reservation_is_made():
    former = played('burst', enabled=False)
    assert not {RESERVE, WITHDRAW} & former.messages.keys()
    assert not any(book.ended for book in former.books)
