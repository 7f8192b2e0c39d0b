"""Features that parts of the provider's contract ask for."""

from ringseam.features import Feature

_COMPETING = (Feature.account_shares, Feature.zone_overflow, Feature.early_shedding)
#: Under ``pressure``, callers of several accounts compete for capacity.
FEATURES_BY_CONTRACT = {'pressure': _COMPETING}  # noqa: WPS407 - read only
