"""The paths of operators' commands, in HTTP requests and between processes."""

STATUS = "/status"
ENTER_MAINTENANCE = "/maintenance/enter"
EXIT_MAINTENANCE = "/maintenance/exit"
STANDBY = "/standby"
ACTIVE = "/active"
