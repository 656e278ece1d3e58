"""The command line: `fawnwharf COMMAND`."""

from typing import Annotated

import typer

from fawnwharf import __version__, config, serving
from fawnwharf.durable_store.commands import app as recovery_app
from fawnwharf.policy_rollout.commands import app as policy_app
from fawnwharf.recovery_service.commands import show as recovery_show
from fawnwharf.replication.commands import app as state_app
from fawnwharf.sessions.commands import app as sessions_app
from fawnwharf.testbed.commands import app as lab_app
from fawnwharf.zones.commands import app as zones_app

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
app.add_typer(zones_app, name="zones")
app.add_typer(state_app, name="state")
app.add_typer(sessions_app, name="sessions")
app.add_typer(policy_app, name="policy")
app.add_typer(lab_app, name="lab")
recovery_app.command("show")(recovery_show)
app.add_typer(recovery_app, name="recovery")

ConfigFile = Annotated[
    str | None, typer.Option("--config", help="Configuration file (JSON); overrides ROUTER_CONFIG.")
]
Zones = Annotated[str | None, typer.Option("--zones", help="Settings file; turns on failover between zones.")]
State = Annotated[str | None, typer.Option("--state", help="Settings file; turns on replicated state.")]
Policy = Annotated[
    str | None, typer.Option("--policy", help="Settings file; turns on policy rollouts. Requires --zones.")
]
Sessions = Annotated[
    str | None,
    typer.Option("--sessions", help="Settings file; turns on migration of sessions. Requires --state."),
]
Recovery = Annotated[
    str | None,
    typer.Option(
        "--recovery",
        help="Settings file; turns on recovery after a power loss. Requires --zones and --state.",
    ),
]
Fresh = Annotated[
    bool, typer.Option("--fresh", help="Start a new fleet: no front end has granted anything before.")
]


@app.command()
def serve(
    path: ConfigFile = None,
    zones: Zones = None,
    state: State = None,
    policy: Policy = None,
    sessions: Sessions = None,
    fresh: Fresh = False,
    recovery: Recovery = None,
) -> None:
    """Serve until SIGTERM, then finish the accepted requests."""
    status = serving.serve(
        path, fresh=fresh, zones=zones, state=state, policy=policy, sessions=sessions, recovery=recovery
    )
    raise typer.Exit(status)


@app.command("check-config")
def check_config(path: ConfigFile = None) -> None:
    """Check the configuration and print a summary of it."""
    try:
        deployment = config.load(path)
    except config.ConfigError as error:
        typer.echo(f"fawnwharf: {error}", err=True)
        raise typer.Exit(2) from None
    host, port = deployment.listen
    classes = ", ".join(deployment.settings.classes) or "none"
    typer.echo(f"fawnwharf: good: {deployment.name or 'no name'} on {host}:{port}, classes: {classes}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"fawnwharf {__version__}")
