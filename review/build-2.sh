#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for file in review/standin-2/*.cpp; do
  object=$out/$(basename "$file" .cpp).o
  g++ "${flags[@]}" -c "$file" -o "$object"
  objects+=("$object")
done
for file in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$file" ] || continue
  g++ "${flags[@]}" "$file" "${objects[@]}" -o "$out/$(basename "$file" .cpp)"
done
