"""The commands `fawnwharf recovery`: they check and repair a front end's folder of durable state."""

import collections
import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import file_format, repairs
from fawnwharf.durable_store.folder import DiskFolder, lock_folder, unlock_folder
from fawnwharf.durable_store.folder_reader import FolderState, UnreadableFolderError
from fawnwharf.durable_store.operations import DiskJob, execute_job
from fawnwharf.durable_store.store import inspect_folder, unix_ms

app = typer.Typer(no_args_is_help=True, help="Check and repair a front end's folder of durable state.")
FolderArgument = Annotated[
    Path, typer.Argument(metavar="FOLDER", help="A front end's folder of durable state.")
]


def _fail(text: str) -> NoReturn:
    """Print an error and exit with status 2."""
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(2)


@contextlib.contextmanager
def _locked(path: Path) -> Iterator[DiskFolder]:
    """Lock and yield the folder; an error ends the command with one line on stderr and status 2."""
    lock = -1
    try:
        lock = lock_folder(path, create=False)
        yield DiskFolder(path)
    except DiskError as error:
        _fail(f"recovery: {error}")
    except UnreadableFolderError as error:
        _fail(f"recovery: {path / error.name if error.name else path}: {error.why}")
    except OSError as error:
        _fail(f"recovery: {error.filename or path}: {error.strerror}")
    finally:
        unlock_folder(lock)


def _print_state(state: FolderState) -> None:
    position = state.position
    counts = collections.Counter(kind for kind, _ in state.entries)
    size_bytes = sum(file_format.entry_size(key, value) for key, value in state.entries.items())
    written_at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(state.at_ms / 1_000.0))
    typer.echo(f"member {state.name} of fleet {state.fleet}, disk {position.disk_id}")
    typer.echo(
        f"incarnation {position.incarnation}, last commit group {position.number}, "
        f"last written at {written_at} UTC by the writer's clock"
    )
    typer.echo(f"last shutdown: {'graceful' if state.closed_cleanly else 'not graceful'}")
    typer.echo(f"{len(state.entries)} entries, {size_bytes} bytes, read from {', '.join(state.files_read)}")
    for kind, count in sorted(counts.items()):
        typer.echo(f"  {kind}: {count}")
    if state.torn_bytes:
        typer.echo(
            f"{state.torn_bytes} bytes of an incomplete last write are ignored: they were never reported"
        )
    if state.repaired:
        typer.echo(f"repaired, and not confirmed by other members since: {state.repaired}")


@app.command()
def verify(folder: FolderArgument) -> None:
    """Check the folder of a stopped front end and show what it contains; nothing is changed.

    The exit status is 2 if the folder can't be read.
    """
    with _locked(folder) as files:
        state = inspect_folder(files, "", "", file_format.StoreLimits())
        if state.fresh:
            raise UnreadableFolderError("", "contains no durable state")
        _print_state(state)


@app.command()
def repair(
    folder: FolderArgument,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the repair without changing anything.")
    ] = False,
) -> None:
    """Write the intact state of a damaged folder to a new snapshot, and rename the old files.

    The exit status is 2 if nothing can be recovered.
    """
    with _locked(folder) as files:
        names = file_format.store_files(files.names())
        plan = repairs.plan_repair({name: files.read(name) for name in names})
        if plan is None:
            typer.echo("nothing to repair")
            return
        _print_plan(plan)
        if dry_run:
            typer.echo("nothing was changed")
            return
        inode = _execute(files, folder, repairs.first_repair_job(plan))
        _execute(files, folder, repairs.second_repair_job(plan, inode, unix_ms()))
        typer.echo("repaired; the member does not rely on this state until other members confirm it")


def _print_plan(plan: repairs.RepairPlan) -> None:
    position = plan.state.position
    typer.echo(f"can't be read: {plan.why}")
    typer.echo(
        f"kept: {len(plan.state.entries)} entries, "
        f"up to incarnation {position.incarnation}, commit group {position.number}"
    )
    for loss in plan.losses:
        typer.echo(f"lost: {loss}")
    typer.echo(f"to be renamed with the suffix {repairs.ASIDE_SUFFIX}: {', '.join(plan.files_set_aside)}")


def _execute(files: DiskFolder, path: Path, job: DiskJob) -> int:
    """Execute a job; return the inode of the file it created. Raises DiskError."""
    result = execute_job(files, job)
    if result.error:
        raise DiskError(f"{path}: {result.error}")
    return result.inode
