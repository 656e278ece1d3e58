"""Migration of sessions between zones: at which zone a session is placed, and how that changes. Pure."""
