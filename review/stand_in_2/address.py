"""The loopback address of this run."""

import os


def own_loopback():
    """A loopback address that other runs on this machine do not use at the same time."""
    number = os.getpid()
    return f"127.{number // 254 % 254 + 1}.{number % 254 + 1}.1"


HOST = own_loopback()
