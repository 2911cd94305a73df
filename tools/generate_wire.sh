#!/usr/bin/env bash
# Makes the committed protobuf and grpclib code anew from the .proto files.
set -eu
cd "$(dirname "$0")/../packages/wire/src"
python -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. fuchsiahatch_wire/*.proto
