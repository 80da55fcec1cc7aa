#!/bin/sh
# Builds the stand-ins of the review's scripts into the program review/stand.
set -eu
cd "$(dirname "$0")"
cc -std=gnu11 -O1 -g -Wall -Wextra -pthread -o stand ./*.c -lm
