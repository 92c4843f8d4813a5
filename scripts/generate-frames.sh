#!/usr/bin/env bash
# Generates src/net/generated from src/net/schema. Needs flatc 2.0.8.
set -euo pipefail
cd "$(dirname "$0")/../src/net"
rm -f generated/*.h
flatc --cpp --cpp-std c++17 --scoped-enums -o generated schema/*.fbs
