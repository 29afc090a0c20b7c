#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${REVIEW_DIR:-target/review-3}
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread"
g++ $flags -c review/standin-3/kit.cpp -o "$out/kit.o"
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = kit ] && continue
  g++ $flags "$source" "$out/kit.o" -o "$out/$name"
done
