"""Quarantine at the leader, also across changes of leader."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from ringseam.attribution import REPORT_SETTLE_S
from ringseam.backends import BackendId, BackendReport, BackendState, GatewayState
from ringseam.clock import PausedClock
from ringseam.commands import RecordVerdict
from ringseam.control.follow import FollowedState, FollowService
from ringseam.control.replicamessages import Leadership, NotLeading, ReadConfirmed
from ringseam.control.state import StateMachine, encode_command
from ringseam.envelopes import ReceivedMessage
from ringseam.evidence import REFUTE_DELAY_S, REPORT_SPACING_S
from ringseam.followmessages import WatchRequest, WatchUpdate
from ringseam.gateway.following.follower import Follower
from ringseam.messages import Redirect
from ringseam.node import Node
from ringseam.quarantine import MAX_VERDICTS, TrialState
from ringseam.quarantinemessages import (
    CrashReport,
    Heard,
    QuarantineSnapshot,
    ServedReport,
    ServerCrash,
    Suspect,
    TrialRequest,
)
from ringseam.routes import ServiceName
from ringseam.rpc import CallClient

GATEWAY = GatewayState(name='g1', address='1.1.1.1:1', zone='a')
LEADING = Leadership(term=3, leader='c1', can_serve=True, voters=5, members=('c1', 'c2'))
FOLLOWING = Leadership(term=4, leader='c2', can_serve=False, voters=5, members=('c1', 'c2'))
CRASHING_CONTENT = 'crashing'


def received(body):
    return ReceivedMessage('g1', '1.1.1.1:1', '', 0, body)


def crash_report(*servers, contents=(CRASHING_CONTENT,), software='v1'):
    suspects = tuple(Suspect(content=content, account='acme') for content in contents)
    return CrashReport(
        ends=tuple(
            ServerCrash(
                instance=BackendId(server),
                service='s',
                software=software,
                suspects=suspects,
            )
            for server in servers
        ),
    )


def report(name, sequence=1, state=BackendState.ready, software='v1'):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('s'),
        address='2.2.2.2:2',
        zone='a',
        sequence=sequence,
        software=software,
        state=state,
    )


class Host:
    """A leader with its own state machine, on a paused clock."""

    def __init__(self, *, commits=True, machine=None):
        self.commits = commits
        self.state_machine = machine or StateMachine()
        self.clock = PausedClock(start=100)
        self.service = FollowService(
            node=Node(name='c1', role='control', address='c1', secret=b'x', clock=self.clock),
            submit=self.submit,
            confirm_leadership=self.confirm_leadership,
            target_voters=5,
            report_interval_s=1.2,
        )
        self.update_state()
        self.service.update_leadership(LEADING)

    @property
    def quarantining(self):
        return self.service.quarantining

    async def submit(self, command):
        if not self.commits:
            return NotLeading()
        outcome = self.state_machine.apply(encode_command(command))
        self.update_state()
        return outcome

    async def confirm_leadership(self):
        return ReadConfirmed(term=3)

    def update_state(self):
        state = self.state_machine.state
        self.service.update_state(
            FollowedState(
                number=1,
                document=b'd',
                retired=tuple(state.retired),
                quarantined=dict(state.quarantined),
            ),
        )

    async def report_crashes(self, *servers, **fields):
        """Report crashes one after the other, and evaluate after each."""
        for server in servers:
            await self.quarantining.handle_crashes(received(crash_report(server, **fields)))
            self.clock.advance(2 * REPORT_SETTLE_S)
            self.quarantining._evaluate()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def request_trial(self, content=CRASHING_CONTENT):
        request = TrialRequest(content=content, lasts_ms=5000)
        return (await self.quarantining.handle_trial(received(request))).reply

    async def watch(self, **fields):
        request = WatchRequest(gateway=GATEWAY, number=1, heard=1, **fields)
        return (await self.service.watch(received(request))).reply


def test_verdict_reaches_a_waiting_watch():
    async def run():
        host = Host()
        first = await host.watch()
        held = {'epoch': first.epoch, 'since': first.upto, 'quarantine': first.quarantine.version}
        waiting = asyncio.create_task(host.watch(**held))
        await host.report_crashes('a')
        assert not waiting.done()
        await host.report_crashes('b')
        update = await asyncio.wait_for(waiting, 0.5)
        assert update.quarantine.suspects == (CRASHING_CONTENT,)
        held |= {'since': update.upto, 'quarantine': update.quarantine.version}
        waiting = asyncio.create_task(host.watch(**held))
        await asyncio.sleep(0)
        await host.report_crashes('c')
        update = await asyncio.wait_for(waiting, 0.5)
        assert list(update.quarantine.quarantined) == [CRASHING_CONTENT]

    asyncio.run(run())


def test_unchanged_quarantine_is_not_sent_again():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        first = await host.watch()
        host.service.directory.report(report('new'), host.clock.now())
        again = await host.watch(
            epoch=first.epoch,
            since=first.upto,
            quarantine=first.quarantine.version,
        )
        assert again.quarantine is None

    asyncio.run(run())


def test_planned_ends_are_no_evidence():
    """A rolling release stops one server after another while a content is in flight."""

    async def run():
        host = Host()
        for name in 'abc':
            leaving = report(name, state=BackendState.draining)
            waiting = asyncio.create_task(host.service.accept_report(leaving))
            await asyncio.sleep(0)
            waiting.cancel()
        await host.report_crashes('a', 'b', 'c')
        assert not host.quarantining.quarantine.evidence.crashes

    asyncio.run(run())


def test_server_that_keeps_reporting_has_not_crashed():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        host.clock.advance(REFUTE_DELAY_S)
        for sequence in (2, 3):
            host.service._record_report(report('c', sequence))
            host.clock.advance(REPORT_SPACING_S)
        await asyncio.sleep(0.01)
        assert (await host.request_trial()).state == TrialState.granted.value
        assert not host.state_machine.state.quarantined

    asyncio.run(run())


def test_late_reports_of_a_replaced_lifetime_refute_no_crash():
    """Reports that a server sent before its crash arrive seconds after its restart."""

    async def run():
        host = Host()
        await host.report_crashes('a#1', 'b#1', 'c#1')
        host.service._record_report(report('c#2', 1))
        host.clock.advance(REFUTE_DELAY_S)
        for sequence in (2, 3):
            host.service._record_report(report('c#1', sequence))
            host.clock.advance(REPORT_SPACING_S)
        assert (await host.request_trial()).state == TrialState.quarantined.value

    asyncio.run(run())


def test_leader_that_has_not_warmed_up_lifts_no_verdict():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        host.service.directory = host.service._new_directory()
        for sequence in (1, 2):
            host.service._record_report(report('new', sequence, software='v2'))
        assert (await host.request_trial()).state == TrialState.quarantined.value

    asyncio.run(run())


def test_host_that_does_not_lead_redirects():
    async def run():
        host = Host()
        host.service.update_leadership(FOLLOWING)
        served = ServedReport(content=CRASHING_CONTENT, software='v1')
        replies = [
            (await host.quarantining.handle_crashes(received(crash_report('a')))).reply,
            (await host.quarantining.handle_served(received(served))).reply,
            await host.request_trial(),
        ]
        assert all(isinstance(reply, Redirect) for reply in replies)

    asyncio.run(run())


def test_verdict_outlives_the_leader_and_a_power_failure():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        snapshot = host.state_machine.snapshot()
        later = Host(machine=StateMachine(snapshot=snapshot))
        assert (await later.request_trial()).state == TrialState.quarantined.value
        assert list((await later.watch()).quarantine.quarantined) == [CRASHING_CONTENT]

    asyncio.run(run())


def test_next_leader_evaluates_resent_evidence():
    """The previous leader quarantined the content but had lost its quorum, so the verdict
    wasn't recorded."""

    async def run():
        host = Host(commits=False)
        await host.report_crashes('a', 'b', 'c')
        later = Host()
        assert (await later.request_trial()).state == TrialState.granted.value
        await later.quarantining.handle_crashes(received(crash_report('a', 'b', 'c')))
        await later.quarantining.handle_crashes(received(crash_report('a', 'b', 'c')))
        later.clock.advance(2 * REPORT_SETTLE_S)
        later.quarantining._evaluate()
        assert (await later.request_trial()).state == TrialState.quarantined.value
        assert len(later.quarantining.quarantine.evidence.crashes) == 3

    asyncio.run(run())


def test_served_content_is_released_for_good():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        served = ServedReport(content=CRASHING_CONTENT, software='v1')
        reply = await host.quarantining.handle_served(received(served))
        await asyncio.sleep(0.01)
        assert isinstance(reply.reply, Heard)
        assert (await host.request_trial()).state == TrialState.granted.value
        assert not host.state_machine.state.quarantined

    asyncio.run(run())


def test_new_release_lifts_a_verdict_for_a_retest():
    async def run():
        host = Host()
        await host.report_crashes('a', 'b', 'c')
        host.service._record_report(report('old', software='v1'))
        host.service._record_report(report('new', software='v2'))
        assert (await host.request_trial()).state == TrialState.quarantined.value
        host.service.directory.expire(host.clock.advance(60))
        host.service._record_report(report('new', 2, software='v2'))
        host.service._record_report(report('new', 3, software='v2'))
        states = [(await host.request_trial()).state for _ in range(2)]
        assert states == [TrialState.granted.value, TrialState.busy.value]

    asyncio.run(run())


def test_recorded_verdicts_are_bounded_oldest_first():
    machine = StateMachine()
    for number in range(MAX_VERDICTS + 3):
        machine.apply(encode_command(RecordVerdict(content=f'c{number}')))
    assert len(machine.state.quarantined) == MAX_VERDICTS
    assert 'c2' not in machine.state.quarantined
    machine.apply(encode_command(RecordVerdict(content='c9', lifted=True)))
    assert 'c9' not in machine.state.quarantined


def test_snapshot_without_verdicts_is_read():
    """Snapshots of an earlier version lack the field."""
    earlier = msgspec.msgpack.encode({'version': 1, 'number': 7, 'document': b'd'})
    assert not StateMachine(snapshot=earlier).state.quarantined


def follower():
    node = Node(name='g1', role='gateway', address='1.1.1.1:1', secret=b'x', clock=PausedClock())
    client = CallClient(node=node)
    return Follower(node=node, client=client, addresses=(), on_change=lambda: None)


def watch_update(epoch, *contents, warm=True, version=2):
    held = QuarantineSnapshot(version=version, quarantined=dict.fromkeys(contents, 0))
    return WatchUpdate(epoch=epoch, upto=1, whole=True, warm=warm, quarantine=held)


@pytest.mark.parametrize(('warm', 'held'), [(False, {'one', 'two'}), (True, {'two'})])
def test_gateway_keeps_verdicts_until_a_new_leader_has_warmed_up(warm, held):
    gateway = follower()
    gateway.apply(watch_update('e1', 'one'))
    gateway.apply(watch_update('e2', 'two', warm=warm))
    assert set(gateway.quarantine.quarantined) == held


def test_gateway_that_lost_its_leader_keeps_the_verdicts():
    gateway = follower()
    gateway.apply(watch_update('e1', 'one'))
    gateway._mark_disconnected('c1', 'gone')
    assert set(gateway.quarantine.quarantined) == {'one'}
