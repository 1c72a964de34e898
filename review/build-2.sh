#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into
# target/review-2, after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview $(pkg-config --cflags jsoncpp) \
    "$source" -o "target/review-2/case-$number" \
    $(pkg-config --libs jsoncpp) -pthread &
done
for job in $(jobs -p); do wait "$job"; done
