"""Verdicts on prompt parts at the leader: recorded, restored, and sent to the gateways."""

import asyncio

import pytest

from ringseam.attribution import CRASHES_TO_QUARANTINE_PART, REPORT_SETTLE_S
from ringseam.control.state import StateMachine
from ringseam.lifetimes import BackendId
from ringseam.messages import Empty, Redirect
from ringseam.quarantine import TrialState
from ringseam.quarantinemessages import (
    CrashReport,
    ServedReport,
    ServerCrash,
    Suspect,
    TrialRequest,
    VerdictLift,
)
from tests.test_control.test_control_quarantining import FOLLOWING, Host, received

BAD = 'part-bad'
BESIDE = 'part-beside'


def unlike(number, *parts, account='acme'):
    return Suspect(content=f'c{number}', account=account, parts=(*parts, BAD, f'part-own{number}'))


async def crash(host, *suspects):
    """Report the crash of a server under requests, each of them sent after the last crash."""
    await host.quarantining.handle_crashes(
        received(
            CrashReport(
                ends=(
                    ServerCrash(
                        instance=BackendId(f's{host.clock.now()}'),
                        service='s',
                        software='v1',
                        suspects=suspects,
                        ran_ms=(30,) * len(suspects),
                    ),
                )
            )
        )
    )
    host.clock.advance(2 * REPORT_SETTLE_S)
    host.quarantining._evaluate()
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def crash_often(host, *parts, account='acme'):
    for number in range(CRASHES_TO_QUARANTINE_PART):
        await crash(host, unlike(number, *parts, account=account))


async def ask(host, *parts, content='new', account='acme'):
    request = TrialRequest(content=content, account=account, parts=parts, lasts_ms=5000)
    return TrialState((await host.quarantining.handle_trial(received(request))).reply.state)


def test_verdict_on_a_part_is_recorded_and_sent():
    async def run():
        host = Host()
        await crash_often(host)
        snapshot = (await host.watch()).quarantine
        assert list(snapshot.quarantined) == [BAD]
        assert snapshot.accounts == {BAD: 'acme'}
        assert list(host.state_machine.state.quarantined) == [BAD]
        assert await ask(host, BAD) is TrialState.quarantined

    asyncio.run(run())


@pytest.mark.parametrize('parts', [(), (BESIDE,)], ids=['one part', 'two parts'])
def test_verdict_on_parts_outlives_the_leader_and_a_power_failure(parts):
    async def run():
        host = Host()
        await crash_often(host, *parts)
        later = Host(machine=StateMachine(snapshot=host.state_machine.snapshot()))
        earlier_snapshot = host.quarantining.snapshot()
        snapshot = later.quarantining.snapshot()
        assert snapshot.quarantined.keys() == earlier_snapshot.quarantined.keys()
        assert snapshot.keys == earlier_snapshot.keys
        assert snapshot.accounts == earlier_snapshot.accounts
        assert await ask(later, BAD, *parts) is TrialState.quarantined
        assert await ask(later, BAD, *parts, account='other') is TrialState.granted

    asyncio.run(run())


def test_next_leader_reaches_the_verdict_from_evidence_that_is_sent_again():
    async def run():
        host = Host(commits=False)
        await crash_often(host)
        later = Host()
        await crash_often(later)
        assert await ask(later, BAD) is TrialState.quarantined

    asyncio.run(run())


def test_answer_to_a_request_of_another_account_releases_the_part():
    async def run():
        host = Host()
        await crash_often(host)
        served = ServedReport(content='new', software='v1', parts=(BAD, 'part-x'))
        await host.quarantining.handle_served(received(served))
        await asyncio.sleep(0.01)
        assert await ask(host, BAD) is TrialState.granted
        assert not host.state_machine.state.quarantined

    asyncio.run(run())


def test_verdict_on_a_content_gives_way_to_one_on_its_part():
    async def run():
        host = Host()
        for _ in range(3):
            await crash(host, unlike(0))
        assert list(host.state_machine.state.quarantined) == ['c0']
        await crash(host, unlike(1))
        assert list(host.state_machine.state.quarantined) == [BAD]

    asyncio.run(run())


def test_trial_runs_of_unlike_requests_with_one_part_are_granted_one_by_one():
    async def run():
        host = Host()
        for number in range(2):
            await crash(host, unlike(number))
        states = [await ask(host, BAD, content=f'n{number}') for number in range(2)]
        assert states == [TrialState.granted, TrialState.busy]

    asyncio.run(run())


def test_operator_sees_a_verdict_and_lifts_it_for_one_run():
    async def run():
        host = Host()
        await crash_often(host)
        (entry,) = (await host.quarantining.handle_read(received(Empty()))).reply.verdicts
        assert (entry.verdict, entry.keys, entry.account) == (BAD, (BAD,), 'acme')
        assert len(entry.crashes) == CRASHES_TO_QUARANTINE_PART
        lifted = await host.quarantining.handle_lift(received(VerdictLift(verdict=BAD)))
        assert lifted.reply.verdicts == ()
        await asyncio.sleep(0.01)
        assert not host.state_machine.state.quarantined
        states = [await ask(host, BAD, content=f'n{number}') for number in range(2)]
        assert states == [TrialState.granted, TrialState.busy]
        await crash(host, unlike(9))
        assert await ask(host, BAD) is TrialState.quarantined

    asyncio.run(run())


def test_host_that_does_not_lead_shows_and_lifts_no_verdict():
    async def run():
        host = Host()
        host.service.update_leadership(FOLLOWING)
        replies = [
            await host.quarantining.handle_read(received(Empty())),
            await host.quarantining.handle_lift(received(VerdictLift(verdict=BAD))),
        ]
        assert all(isinstance(reply.reply, Redirect) for reply in replies)

    asyncio.run(run())


# A verdict that an answer had narrowed to fewer parts was lost with the leader.
def test_verdict_that_an_answer_narrows_outlives_the_leader():
    async def run():
        host = Host()
        await crash_often(host, BESIDE)
        served = ServedReport(content='sound', software='v1', parts=(BESIDE,))
        await host.quarantining.handle_served(received(served))
        await asyncio.sleep(0.01)
        assert list(host.state_machine.state.quarantined) == [BAD]
        later = Host(machine=StateMachine(snapshot=host.state_machine.snapshot()))
        assert await ask(later, BAD) is TrialState.quarantined

    asyncio.run(run())
