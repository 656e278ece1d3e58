"""The operators' files for policy rollouts: settings, and requests to a running front end.

Pure. Files are JSON, accepted as a whole or not at all; a malformed one raises SettingsFileError, whose text
names the key. Durations are milliseconds.
"""

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.policy_rollout.document import DocumentError, document_from_object
from fawnwharf.policy_rollout.rollout_coordinator import RolloutTiming
from fawnwharf.zones.settings import DurationMs, SettingsFileError

VERSION = 1
MAX_ERROR_LENGTH = 200

Decoded = TypeVar("Decoded")


class RolloutSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The file that switches policy rollouts on; the voters' values count for the fleet."""

    version: int
    lease_ms: DurationMs = 2_000.0  # for how long a front end acts by a document without reaching a leader
    renew_ms: DurationMs = 500.0  # interval of its lease requests
    prepare_ms: DurationMs = 6_000.0  # for all to answer a proposal
    # The interval at which a message that was not answered is sent again.
    resend_interval_ms: DurationMs = field(default=500.0, name="again_ms")
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1  # by which the rates of clocks may differ
    trace: str = ""  # a file for one line per call, in trials; relative to the folder of the settings

    @property
    def timing(self) -> RolloutTiming:
        """The times that coordinators and holders use."""
        return RolloutTiming(
            self.lease_ms, self.renew_ms, self.prepare_ms, self.resend_interval_ms, self.skew
        )


class PolicyRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's request, `proposal.json`: exactly one of `propose`, `call_off` and `back` is there."""

    version: int
    number: Annotated[int, Meta(ge=1, lt=2**53)]  # larger than that of earlier requests
    propose: Any = None  # a document
    cancel: Annotated[str, Meta(max_length=200)] | None = field(default=None, name="call_off")  # the reason
    rollback: bool = field(default=False, name="back")  # to the policy before the last

    @property
    def kind(self) -> str:
        """The request by the name of its command."""
        if self.propose is not None:
            return "propose"
        return "back" if self.rollback else "call off"


def _decode(data: bytes, kind: type[Decoded], what: str) -> Decoded:
    """Decode a file; raises SettingsFileError, whose text begins with the key, or with `what` the file is."""
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        text = " ".join(str(error).split())[:MAX_ERROR_LENGTH]
        raise SettingsFileError(f"{what}: not JSON: {text}") from None
    if isinstance(decoded, dict) and decoded.get("version") != VERSION:
        raise SettingsFileError(f"version: {decoded.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(decoded, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        raise SettingsFileError(f"{key or what}: {text}") from None


def decode_settings(data: bytes) -> RolloutSettings:
    """Parse and check the settings; raises SettingsFileError."""
    settings = _decode(data, RolloutSettings, "settings")
    if settings.renew_ms * 2 > settings.lease_ms:
        raise SettingsFileError("renew_ms: two do not fit into lease_ms")
    max_lease_ms = settings.timing.max_lease_ms
    if settings.prepare_ms < max_lease_ms:
        raise SettingsFileError(f"prepare_ms: less than a lease by the slowest clock, {max_lease_ms:.0f}")
    return settings


def decode_operator_request(data: bytes) -> PolicyRequest:
    """Parse a request and check its document, where it has one, by itself; raises SettingsFileError."""
    request = _decode(data, PolicyRequest, "proposal")
    if (request.propose is not None) + (request.cancel is not None) + request.rollback != 1:
        raise SettingsFileError("proposal: one of propose, call_off and back is wanted")
    if request.propose is not None:
        try:
            document_from_object(request.propose)
        except DocumentError as error:
            raise SettingsFileError(str(error)) from None
    return request
