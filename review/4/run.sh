#!/usr/bin/env bash
. "$(dirname "$0")/../common/run_case.sh"
