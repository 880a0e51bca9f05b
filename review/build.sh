#!/usr/bin/env bash
# Builds what the scripts start beside the gateway: the project's stand-in of the metadata store. Run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build
