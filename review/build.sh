#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cc -std=gnu11 -O1 -g -Wall -Wextra -pthread -o bin/stand stand/*.c -lm
