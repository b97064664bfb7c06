"""The savoryleadd daemon: gateway, leads and the links between daemons."""
