#!/bin/sh
exec "$(dirname "$0")/../stand-ins/run.sh" "$(cd "$(dirname "$0")" && pwd)"
