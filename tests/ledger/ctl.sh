# Runs the commands of reedchutectl and prints their output and exit codes. Output that differs from
# run to run is left out.
ctl=$1
root=$2
ledger=$3
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 1
run_ctl() {
  echo "-- $*"
  "$ctl" "$@" 2>err.txt
  echo "exit $?"
  sed 's/^[^ ]* //' err.txt | head -n 3
}
cp "$root/example/cassandra.hcl" door.hcl
run_ctl config check door.hcl
echo 'ledger { }' > bad.hcl
run_ctl config check bad.hcl
run_ctl config check none.hcl
run_ctl ledger
printf '0123456789abcdef0123456789abcdef' > key
printf 'fedcba9876543210fedcba9876543210' > office
"$ledger" make "$folder/l" key
run_ctl ledger show --key-file key l
run_ctl ledger verify --key-file key l
run_ctl ledger verify --key-file office l
run_ctl ledger correct --key-file key --signing-key-file office --id c1 --tenant coop --period 2026-12-01T00:00Z --corrects l:2 --reason "a test" --by office --statements -1 l
run_ctl ledger correct --key-file key --signing-key-file office --id c1 --tenant coop --period 2026-12-01T00:00Z --corrects l:2 --reason "a test" --by office --statements -1 l
run_ctl ledger show --key-file key l
run_ctl ledger export --key-file key l out.csv
cut -d, -f1,3- out.csv
run_ctl --json ledger export --key-file key --format json l out.json
wc -l < out.json
run_ctl ledger reconcile --key-file key l
printf 'x' | dd of=l/ledger-00000001.log bs=1 seek=120 conv=notrunc 2>/dev/null
run_ctl ledger verify --key-file key l | sed 's/at byte [0-9]*, //'
