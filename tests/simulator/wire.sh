# Sends the wire host good and malformed lines and compares what it says with the kept trace.
host=$1
here=$(dirname "$0")
settings="classes.count=1@classes.0.name=w@classes.0.repeat=repeatable@classes.0.slo=400000@extra.read_level=eventual@\
extra.origin_time=0@tick=5000@membership_mode=automatic@limits.connect_timeout=250000@obligations.ask_every=10000000@\
obligations.ramp_time=16000000@obligations.tip_after=2000000@obligations.cold_from=0.27@obligations.fall_multiple=2.5"
start="TURN@1000 SPAWN@3@7@$settings"
list="SHEET@0@1 M@store-a@1@z@k@11@U@1@- REGISTRY@3@stale_copy@1@0"
job="JOB_IN@3@9@-@-@w@0@900000@-@-@11"

say() { # title, then lines with @ for tabs and blanks for line ends
  echo "-- $1"
  echo "$2" | tr ' @' '\n\t' | "$host" 2>&1 | grep -v -e SLEEP | tr '\t' ' '
}

{
  say "empty batches" "TURN@5 GO TURN@6 GO"
  say "a statement comes in and is sent" "$start $list $job GO"
  say "a list number is used again within a batch" "$start $list SHEET@0@1 M@store-b@0@z@k@11@U@1@- REGISTRY@3@patch@2@0 $job GO"
  say "killed and started again: nothing is kept" "$start $list $job KILL@3 SPAWN@3@8@$settings $list GO"
  say "an unknown setting is skipped" "$start@new.key=1 GO"
  say "an unknown message" "TURN@5 HELLO@3"
  say "a missing value" "TURN@5 WAKEUP@3"
  say "a bad value" "TURN@x"
  say "an instance that was never started" "TURN@5 WAKEUP@3@1"
  say "a line outside a batch" "GO"
  say "a list that was never set up" "$start REGISTRY@3@whole@1@4"
  say "an outcome of nothing" "$start $list RESOLVED@3@9@0@store-a@0@1@0@200@-"
  say "input ends inside a batch" "TURN@5"
  say "a setting is missing" "TURN@5 SPAWN@3@7@classes.count=1"
  say "a setting makes no sense" "$start@obligations.cold_from=0 GO"
} | diff "$here/../traces/wire.txt" -
