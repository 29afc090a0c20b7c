#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
common=(review/standin/{http_server,platform_store,upstream,edge_process,fleet,pipelining_client,order_client}.cpp)
for driver in stop_pipelined cold_again frozen_holder; do
  [ -e "review/standin/$driver.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "target/review/$driver" \
    "review/standin/$driver.cpp" "${common[@]}" -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
