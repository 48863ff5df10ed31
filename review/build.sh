#!/bin/sh
# Builds the stand-ins of all scripts into review/bin.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/standins ./review/standins
