#!/bin/sh
cd "$(dirname "$0")" && exec ../run-case.sh long-prefix "$PWD"
