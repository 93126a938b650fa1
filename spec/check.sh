#!/bin/sh
# Check the model exhaustively, and that all broken variants are found wrong.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null 2>&1; then
    apt-get update -qq && apt-get install -y -qq spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp gang.pml dispatch.pml incarnation.pml crashes.pml closures.pml "$work"
cd "$work"

# verify NAME SPIN-FLAGS COMPILE-FLAGS RUN-FLAGS: print what was found.
model=gang.pml
verify() {
    spin -a $2 "$model" >spin.log 2>&1 || { cat spin.log; exit 1; }
    cc -O2 -w $3 -o pan pan.c
    ./pan -m1000000 $4 >"$1.log" 2>&1 || true
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$1.log")
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$1.log")
    if grep -q 'search depth too small\|out of memory' "$1.log"; then
        echo "$1: the search was not exhaustive"; exit 1
    fi
    echo "$1: ${states:-?} states, ${errors:-?} errors"
}

expect() {
    if [ "$2" = right ] && [ "$errors" != 0 ]; then
        echo "$1 should hold and does not"; exit 1
    fi
    if [ "$2" = wrong ] && [ "$errors" = 0 ]; then
        echo "$1 should be found wrong and is not"; exit 1
    fi
}

verify safety "" "-DSAFETY -DNOCLAIM" "-E"
expect safety right
verify job-ends "" "-DNFAIR=12" "-a -f -N job_ends"
expect job-ends right
verify no-partial "" "-DNFAIR=12" "-a -f -N no_partial"
expect no-partial right
verify no-fencing-safety "-DNO_FENCING" "-DSAFETY -DNOCLAIM" "-E"
expect no-fencing-safety wrong
verify no-fencing-partial "-DNO_FENCING" "-DNFAIR=12" "-a -f -N no_partial"
expect no-fencing-partial wrong
verify no-read-back "-DNO_READ_BACK" "-DNFAIR=12" "-a -f -N job_ends"
expect no-read-back wrong

model=dispatch.pml
flags="-DSAFETY -DNOCLAIM -DCOLLAPSE"
verify dispatch "" "$flags" "-E"
expect dispatch right
verify dispatch-no-raise "-DNO_RAISE" "$flags" "-E"
expect dispatch-no-raise wrong
verify dispatch-ack-first "-DACK_FIRST" "$flags" "-E"
expect dispatch-ack-first wrong
verify dispatch-blind-mark "-DBLIND_MARK" "$flags" "-E"
expect dispatch-blind-mark wrong
verify dispatch-no-lapse "-DNO_LAPSE" "$flags" "-E"
expect dispatch-no-lapse wrong
model=incarnation.pml
verify incarnation "" "$flags" "-E"
expect incarnation right
verify incarnation-keep-numbers "-DKEEP_NUMBERS" "$flags" "-E"
expect incarnation-keep-numbers wrong
verify incarnation-ack-ordered "-DACK_ORDERED" "$flags" "-E"
expect incarnation-ack-ordered wrong
verify incarnation-ack-unproven "-DACK_UNPROVEN" "$flags" "-E"
expect incarnation-ack-unproven wrong
verify incarnation-ack-unsynced "-DACK_UNSYNCED" "$flags" "-E"
expect incarnation-ack-unsynced wrong
verify incarnation-uncounted "-DUNCOUNTED" "$flags" "-E"
expect incarnation-uncounted wrong
verify incarnation-judge-partial "-DJUDGE_PARTIAL" "$flags" "-E"
expect incarnation-judge-partial wrong
model=crashes.pml
verify crashes "" "$flags" "-E"
expect crashes right
verify crashes-reports-only "-DREPORTS_ONLY" "$flags" "-E"
expect crashes-reports-only wrong
verify crashes-in-memory "-DIN_MEMORY" "$flags" "-E"
expect crashes-in-memory wrong
verify crashes-mark-last "-DMARK_LAST" "$flags" "-E"
expect crashes-mark-last wrong
verify crashes-two-writes "-DTWO_WRITES" "$flags" "-E"
expect crashes-two-writes wrong
verify crashes-unanswered "-DUNANSWERED" "$flags" "-E"
expect crashes-unanswered wrong
model=closures.pml
verify closures "" "$flags" "-E"
expect closures right
verify closures-no-age "-DNO_AGE" "$flags" "-E"
expect closures-no-age wrong
verify closures-age-from-answer "-DAGE_FROM_ANSWER" "$flags" "-E"
expect closures-age-from-answer wrong
verify closures-unchecked-start "-DUNCHECKED_START" "$flags" "-E"
expect closures-unchecked-start wrong
verify closures-old-feed "-DOLD_FEED" "$flags" "-E"
expect closures-old-feed wrong
verify closures-old-reading "-DOLD_READING" "$flags" "-E"
expect closures-old-reading wrong
verify closures-open-unread "-DOPEN_UNREAD" "$flags" "-E"
expect closures-open-unread wrong
echo "All protocols hold; all broken variants are found wrong."
