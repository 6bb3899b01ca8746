"""Connects to the admin service of an entry and sends the key with every call."""

import os
import pathlib
import sys

import grpc

sys.path.insert(0, str(pathlib.Path(__file__).parent / "generated"))

import admin_pb2  # noqa: E402
import admin_pb2_grpc  # noqa: E402

CALL_TIMEOUT_S = 10


class _KeyedCall:
    """Calls a method of the stub with the key and a deadline."""

    def __init__(self, method, key):
        self._method = method
        self._metadata = (("authorization", f"Bearer {key}"),)

    def __call__(self, request):
        return self._method(request, timeout=CALL_TIMEOUT_S, metadata=self._metadata)


class _KeyedStub:
    def __init__(self, stub, key):
        self._stub = stub
        self._key = key

    def __getattr__(self, name):
        return _KeyedCall(getattr(self._stub, name), self._key)


def connect(address):
    """Returns a stub of the service `admin`; reads the key from the environment variable CHERVILPULLEY_KEY."""
    channel = grpc.insecure_channel(address)
    return _KeyedStub(admin_pb2_grpc.adminStub(channel), os.environ["CHERVILPULLEY_KEY"])
