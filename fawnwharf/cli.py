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

# The options of commands.
ConfigFile = Annotated[
    str | None, typer.Option("--config", help="The JSON file, in place of ROUTER_CONFIG's.")
]
Zones = Annotated[
    str | None, typer.Option("--zones", help="Settings of failover between zones; off without.")
]
State = Annotated[str | None, typer.Option("--state", help="Settings of replicated state; off without.")]
Policy = Annotated[
    str | None, typer.Option("--policy", help="Settings of changes of policy; off without, needs --zones.")
]
Sessions = Annotated[
    str | None, typer.Option("--sessions", help="Settings of sessions that move; off without, needs --state.")
]
Recovery = Annotated[
    str | None,
    typer.Option("--recovery", help="Settings of recovery; off without, needs --zones and --state."),
]
Fresh = Annotated[
    bool, typer.Option("--fresh", help="The whole fleet begins: no front end has promised anything before.")
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
    """Serve until SIGTERM, then finish what was taken."""
    status = serving.serve(
        path, fresh=fresh, zones=zones, state=state, policy=policy, sessions=sessions, recovery=recovery
    )
    raise typer.Exit(status)


@app.command("check-config")
def check_config(path: ConfigFile = None) -> None:
    """Read and check the configuration, and say what was understood."""
    try:
        found = config.load(path)
    except config.ConfigError as error:
        typer.echo(f"fawnwharf: {error}", err=True)
        raise typer.Exit(2) from None
    host, port = found.listen
    names = ", ".join(found.settings.classes) or "none"
    typer.echo(f"fawnwharf: good: {found.name or 'no name'} on {host}:{port}, classes: {names}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"fawnwharf {__version__}")
