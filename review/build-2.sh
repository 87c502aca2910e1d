#!/bin/sh
# Builds the programs of cases 6 to 10, each with its stand-ins, into build/review-2. Run it after the
# build of the deploy file. Needs only the C++ compiler that the project is built with.
cd "$(dirname "$0")/.." || exit 2
mkdir -p build/review-2 || exit 2
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand-2 "$source" \
    -o "build/review-2/case-$number" || exit 1
done
