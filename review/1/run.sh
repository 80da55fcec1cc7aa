#!/bin/sh
cd "$(dirname "$0")" && exec ../run-case.sh late-refusal "$PWD"
