#!/bin/sh
# LOST: a part of a prompt crashes workers; it is the seventeenth part.
cd "$(dirname "$0")/../.." || exit 2
ID_DIGITS=8 PARTS_BETWEEN=15 exec target/standin3 deadly review/12/record.txt
