"""Features come from the settings, or from servers that share their hosts with other work.

Guards against parts that are in force in a deployment that doesn't ask for them.
"""

from __future__ import annotations

import pytest

from ringseam.features import Feature
from ringseam.gateway.featureswitch import FeatureSwitch

UNDER_INTERFERENCE = {Feature.zone_overflow, Feature.early_shedding}


@pytest.mark.parametrize('feature', list(Feature))
def test_no_feature_is_in_force_by_default(feature):
    assert not FeatureSwitch().is_on(feature)


@pytest.mark.parametrize('feature', list(Feature))
def test_named_feature_is_in_force(feature):
    switch = FeatureSwitch(settings=frozenset({feature}))
    assert [one for one in Feature if switch.is_on(one)] == [feature]


@pytest.mark.parametrize('feature', list(Feature))
def test_interference_asks_for_some_features(feature):
    switch = FeatureSwitch(sees_interference=True)
    assert switch.is_on(feature) == (feature in UNDER_INTERFERENCE)
