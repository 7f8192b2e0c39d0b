"""The policies by which the pieces of stage services are scheduled."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.features import Feature
from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import UnsharedPolicy
from ringseam.gateway.stages.fairorder import FairOrder
from ringseam.gateway.stages.order import UrgencyOrder
from ringseam.gateway.stages.shedding import FullCallsPolicy, SwitchedShedPolicy
from ringseam.gateway.stages.zonechoice import LastMomentPolicy, SwitchedPolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.gateway.accounts.policy import SharePolicy
    from ringseam.gateway.featureswitch import FeatureSwitch
    from ringseam.gateway.stages.order import DispatchOrder
    from ringseam.gateway.stages.shedding import ShedPolicy
    from ringseam.gateway.stages.zonechoice import ZonePolicy


@dataclass(frozen=True, kw_only=True)
class StagePolicies:
    """Policies of all stage services; those with state are created for each service."""

    #: Creates the shares of client accounts.
    new_shares: Callable[[], SharePolicy] = UnsharedPolicy
    #: Creates the order in which queued pieces are sent.
    new_order: Callable[[], DispatchOrder] = UrgencyOrder
    #: Decides which pieces run outside their preferred zone.
    zone_policy: ZonePolicy = field(default_factory=LastMomentPolicy)
    #: Decides when late pieces are rejected.
    shed_policy: ShedPolicy = field(default_factory=FullCallsPolicy)


def stage_policies(switch: FeatureSwitch) -> StagePolicies:
    """Return the policies for the features in force."""
    shared = Feature.account_shares in switch.settings
    return StagePolicies(
        new_shares=MaxMinShares if shared else UnsharedPolicy,
        new_order=FairOrder if shared else UrgencyOrder,
        zone_policy=SwitchedPolicy(is_on=lambda: switch.is_on(Feature.zone_overflow)),
        shed_policy=SwitchedShedPolicy(is_on=lambda: switch.is_on(Feature.early_shedding)),
    )
