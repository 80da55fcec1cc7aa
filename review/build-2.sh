#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the
# deploy file: the laboratory with the stand-ins that it contains.
set -eu
cd "$(dirname "$0")/.."
make -j8 -f review/lab.mk OUT=target target/fuchsiawardd target/fwlab
