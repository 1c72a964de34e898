#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/, after the build of the
# deploy file. Needs only what that build needs: a compiler and jsoncpp.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
read -r -a json <<<"$(pkg-config --cflags --libs jsoncpp)"
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -I review/common "$source" review/common/*.cc \
    -o "target/review/case-$number" "${json[@]}"
done
