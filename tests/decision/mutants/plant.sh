#!/bin/sh
# plant.sh MUTANT SOURCE OUT: writes SOURCE with the faults of MUTANT planted to OUT. The first line of MUTANT,
# "# source: FILE", names the file in src/decision that SOURCE must be. The text of a line "- " is replaced by that of
# the next line, "+ ", and must occur in SOURCE exactly once.
named=$(sed -n '1s/^# source: //p' "$1")
if [ "$named" != "$(basename "$2")" ]; then
  echo "$1: names \"$named\" as its source" >&2
  exit 1
fi
exec awk -v out="$3" '
  FNR == NR { if (/^- /) from[++n] = substr($0, 3); else if (/^\+/) to[n] = substr($0, 3); next }
  { text = text $0 "\n" }
  END {
    for (k = 1; k <= n; ++k) {
      at = index(text, from[k])
      rest = substr(text, at + length(from[k]))
      if (!at || index(rest, from[k])) {
        print FILENAME ": must occur exactly once in the source: " from[k] > "/dev/stderr"
        exit 1
      }
      text = substr(text, 1, at - 1) to[k] rest
    }
    if (!n) exit 1
    printf "%s", text > out
  }' "$1" "$2"
