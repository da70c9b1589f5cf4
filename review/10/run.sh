#!/bin/sh
exec sh "$(dirname "$0")/../standins-2/run-case.sh" 10
