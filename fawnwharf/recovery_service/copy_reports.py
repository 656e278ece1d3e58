"""Reports of first copies: the reports that are due to be sent, and which received reports are new."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from fawnwharf.recovery_service.actions import SendPermitMessage
from fawnwharf.recovery_service.permit_messages import (
    MAX_FUNCTIONS_PER_MESSAGE,
    CopyPlacement,
    CopyReport,
)

MAX_REPORT_VERSIONS = 20_000  # functions


class _ReportVersion(NamedTuple):
    sender: str
    incarnation: int
    number: int


class CopyReports:
    """Collects reports that are due, and tracks the version of the last report about each function."""

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._number = 0
        self._for_all: dict[str, None] = {}  # functions, in order
        self._for_member: dict[str, dict[str, None]] = {}
        self._versions: dict[str, _ReportVersion] = {}  # by function

    def add_for_all(self, function: str) -> None:
        """Report a function to all members in the next tick."""
        self._for_all[function] = None

    def add_for(self, member: str, functions: Iterable[str]) -> None:
        """Report functions to one member in the next tick."""
        self._for_member.setdefault(member, {}).update(dict.fromkeys(functions))

    def retain(self, reachable: frozenset[str]) -> None:
        """Drop reports that are due to unreachable members."""
        for name in self._for_member.keys() - reachable:
            del self._for_member[name]

    def is_new(self, function: str, sender: str, report: CopyReport) -> bool:
        """Whether a report is newer than the last one about this function; a newer one is recorded."""
        last = self._versions.get(function)
        if (
            last is not None
            and (last.sender, last.incarnation) == (sender, report.incarnation)
            and report.number <= last.number
        ):
            return False
        self._versions.pop(function, None)
        self._versions[function] = _ReportVersion(sender, report.incarnation, report.number)
        if len(self._versions) > MAX_REPORT_VERSIONS:
            del self._versions[next(iter(self._versions))]
        return True

    def tick(self, placement: Callable[[str], CopyPlacement]) -> list[SendPermitMessage]:
        """Return the due reports with current placements: one message for all members and one for each."""
        messages = [self._report((), self._for_all, placement)] if self._for_all else []
        for name in list(self._for_member):
            functions = self._for_member[name]
            if functions:
                messages.append(self._report((name,), functions, placement))
            if not functions:
                del self._for_member[name]
        return messages

    def _report(
        self, to: tuple[str, ...], functions: dict[str, None], placement: Callable[[str], CopyPlacement]
    ) -> SendPermitMessage:
        """Remove the first functions, up to one message's limit, and report them."""
        self._number += 1
        placements = []
        for function in list(functions)[:MAX_FUNCTIONS_PER_MESSAGE]:
            del functions[function]
            placements.append(placement(function))
        return SendPermitMessage(to, CopyReport(self._incarnation, self._number, tuple(placements)))
