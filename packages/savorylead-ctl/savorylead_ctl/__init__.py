"""The savoryctl command line."""
