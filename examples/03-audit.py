"""Prints the audit trail of configuration changes, which it reads page by page.

Usage: CHERVILPULLEY_KEY=name.secret python3 03-audit.py IP:PORT
"""

import sys

import grpc

from connection import admin_pb2, connect

PAGE_SIZE = 100


def entries(stub):
    """Yields all entries of the audit trail, in order."""
    after = 0
    while True:
        response = stub.Audit(admin_pb2.audit_request(after_revision=after, page_size=PAGE_SIZE))
        yield from response.entries
        if not response.entries or response.entries[-1].revision >= response.head_revision:
            return
        after = response.entries[-1].revision


def main(address):
    for entry in entries(connect(address)):
        for operation in entry.change.operations:
            kind = admin_pb2.object_kind.Name(operation.ref.kind).removeprefix("OBJECT_KIND_").lower()
            op = admin_pb2.change_op.Name(operation.op).removeprefix("CHANGE_OP_").lower()
            print(f"{entry.revision} {entry.unix_ms} {entry.actor}: {op} {kind} {operation.ref.name}")


if __name__ == "__main__":
    try:
        main(sys.argv[1])
    except grpc.RpcError as refused:
        sys.exit(f"{refused.code().name}: {refused.details()}")
