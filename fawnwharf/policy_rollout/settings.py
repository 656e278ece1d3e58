"""The operators' files for policy rollouts: settings, and requests to a running front end. Pure.

JSON, taken whole or not at all; a faulty one raises FileFault, whose text names the key. Durations are
milliseconds.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.policy_rollout.document import DocumentError, document_from_object
from fawnwharf.policy_rollout.rollout_coordinator import RolloutTiming
from fawnwharf.zones.settings import DurationMs, SettingsFileError

VERSION = 1


class RolloutSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The file that switches policy rollouts on; the voters' values count for the fleet."""

    version: int
    lease_ms: DurationMs = 2_000.0  # a front end acts by an epoch for so long without a leader's word
    renew_ms: DurationMs = 500.0  # pace of its questions
    prepare_ms: DurationMs = 6_000.0  # for all to answer a proposal
    again_ms: DurationMs = 500.0  # pace at which what is not answered is said again
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1  # by which clocks' rates may differ
    trace: str = ""  # a file for a line a call, for trials; a relative path is from the settings' own folder

    @property
    def timing(self) -> RolloutTiming:
        """The times that coordinators and holders go by."""
        return RolloutTiming(self.lease_ms, self.renew_ms, self.prepare_ms, self.again_ms, self.skew)


class OperatorRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's request, `proposal.json`: exactly one of `propose`, `call_off` and `back` is there."""

    version: int
    number: Annotated[int, Meta(ge=1, lt=2**53)]  # larger than of the words before
    propose: Any = None  # a document
    call_off: Annotated[str, Meta(max_length=200)] | None = None  # why
    back: bool = False  # to the policy before the last


def _read(data: bytes, kind: type, what: str) -> Any:
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise SettingsFileError(f"{what}: not JSON: {' '.join(str(error).split())[:200]}") from None
    if isinstance(raw, dict) and raw.get("version") != VERSION:
        raise SettingsFileError(f"version: {raw.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise SettingsFileError(f"{place.rstrip('`').lstrip('.') or what}: {text}") from None


def decode_settings(data: bytes) -> RolloutSettings:
    """Parse and check the settings; raises FileFault."""
    found: RolloutSettings = _read(data, RolloutSettings, "settings")
    if found.renew_ms * 2 > found.lease_ms:
        raise SettingsFileError("renew_ms: two do not fit into lease_ms")
    if found.prepare_ms < found.timing.over_ms:
        raise SettingsFileError(
            f"prepare_ms: less than a lease by the slowest clock, {found.timing.over_ms:.0f}"
        )
    return found


def decode_operator_request(data: bytes) -> OperatorRequest:
    """Parse a request and check its document, where it has one, by itself; raises FileFault."""
    said: OperatorRequest = _read(data, OperatorRequest, "proposal")
    if (said.propose is not None) + (said.call_off is not None) + said.back != 1:
        raise SettingsFileError("proposal: one of propose, call_off and back is wanted")
    if said.propose is not None:
        try:
            document_from_object(said.propose)
        except DocumentError as error:
            raise SettingsFileError(str(error)) from None
    return said
