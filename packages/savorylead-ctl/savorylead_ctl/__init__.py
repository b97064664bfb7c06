"""savoryctl, the command-line client of a cell."""
