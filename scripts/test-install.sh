#!/usr/bin/env bash
# Installs the build into a temporary prefix, builds a small program against the
# installed package, and runs that program and the installed ones.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
PREFIX=$(mktemp -d)
trap 'rm -rf "$PREFIX"' EXIT
cmake --install "$BUILD" --prefix "$PREFIX/usr" >/dev/null
cmake -S tests/install -B "$PREFIX/consumer" -G Ninja \
  -DCMAKE_PREFIX_PATH="$PREFIX/usr" \
  -DCMAKE_CXX_FLAGS="${CONSUMER_FLAGS:-}" >/dev/null
cmake --build "$PREFIX/consumer" >/dev/null
SHARE="$PREFIX/usr/share/hyssopford"
"$PREFIX/consumer/consumer" "$SHARE/examples/cafea-deschisa/node.json" |
  grep -q '^hyssopford_members{state="alive"} 1$'
"$PREFIX/usr/bin/hyssopctl" settings \
  --check "$SHARE/examples/sunbelt-glazing/node.json" >/dev/null
"$PREFIX/usr/bin/hyssopctl" --help | grep -q 'usage: hyssopctl'
"$PREFIX/usr/bin/hyssopford" --help | grep -q -- '--settings'
test -f "$SHARE/schema/routing.schema.json"
test -f "$PREFIX/usr/share/doc/hyssopford/OPERATIONS.md"
if grep -rIl "$PWD" "$PREFIX/usr/lib" "$PREFIX/usr/share" | grep -v '\.a$'; then
  echo "the installed files above contain the path of the source folder" >&2
  exit 1
fi
echo "the installed package works"
