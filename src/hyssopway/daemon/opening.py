"""Opens the data folder of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.agreement import Configuration, InitialiseRefusedError, StorageError
from hyssopway.event import Event, log_event

from .status import group_with_state

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.settings import DaemonSettings

    from .daemon import Daemon


async def open_member(daemon: Daemon, *, member: Member) -> None:
    """Opens the control member; a new group starts only when the daemon was told to initialise."""
    initial = None
    if daemon.initialise and not member.store.is_initialised:
        # A lost disk must not come back as the voter that it was: it could vote twice in a term.
        other = await group_with_state(daemon)
        if other:
            reason = f"{other} already has a group with committed state; start without --initialise"
            log_event(Event.INITIALISE_REFUSED, reason=reason)
            raise InitialiseRefusedError(reason)
        initial = _initial_configuration(daemon.settings)
    try:
        member.open(initial=initial)
    except OSError as error:
        raise StorageError(f"data folder {daemon.settings.data_dir}: {error}") from error
    if not member.configuration.members:
        log_event(Event.MEMBER_WAITS, member=member.member_id)


def _initial_configuration(settings: DaemonSettings) -> Configuration:
    return Configuration(voters=tuple(f"{peer.name}/0" for peer in settings.peers if peer.member))


__all__ = ["open_member"]
