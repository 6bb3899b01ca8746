"""Changes the weight of a workspace and reads it back.

Usage: CHERVILPULLEY_KEY=name.secret python3 02-apply-and-read.py IP:PORT WORKSPACE WEIGHT
"""

import sys
import time
import uuid

import grpc

from connection import admin_pb2, connect

MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2
RETRYABLE_CODES = (grpc.StatusCode.UNKNOWN, grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)


def apply(stub, change):
    """Sends a change. Retries are safe because they have the same change id, and resolve an unknown outcome."""
    for attempt in range(1, MAX_ATTEMPTS + 1):
        try:
            return stub.Apply(admin_pb2.apply_request(change=change))
        except grpc.RpcError as error:
            if error.code() not in RETRYABLE_CODES or attempt == MAX_ATTEMPTS:
                raise
            time.sleep(RETRY_PAUSE_S * attempt)


def main(address, name, weight):
    stub = connect(address)
    ref = admin_pb2.object_ref(kind=admin_pb2.OBJECT_KIND_WORKSPACE, name=name)
    found = stub.Get(admin_pb2.get_request(ref=ref)).object
    found.workspace.weight = weight
    change = admin_pb2.change(change_id=str(uuid.uuid4()))
    change.operations.add(
        op=admin_pb2.CHANGE_OP_UPDATE, ref=ref, object=found, expected_version=found.version
    )
    response = apply(stub, change)
    print(f"change {change.change_id} is revision {response.revision}")
    print(f"weight of {name} is {stub.Get(admin_pb2.get_request(ref=ref)).object.workspace.weight}")


if __name__ == "__main__":
    try:
        main(sys.argv[1], sys.argv[2], int(sys.argv[3]))
    except grpc.RpcError as refused:
        sys.exit(f"{refused.code().name}: {refused.details()}")
