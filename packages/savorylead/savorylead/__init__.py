"""Coordination and placement parts for a scheduler of one large cell.

The library opens no socket and starts no reactor. The clock, randomness and the
platform's key-value service come in as interfaces.
"""
