# reedchutectl by hand: what it prints and its exit codes. What changes from run to run is left out.
ctl=$1
root=$2
ledger=$3
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 1
say() {
  echo "-- $*"
  "$ctl" "$@" 2>err.txt
  echo "exit $?"
  sed 's/^[^ ]* //' err.txt | head -n 3
}
cp "$root/example/cassandra.hcl" door.hcl
say config check door.hcl
echo 'ledger { }' > bad.hcl
say config check bad.hcl
say config check none.hcl
say ledger
printf '0123456789abcdef0123456789abcdef' > key
printf 'fedcba9876543210fedcba9876543210' > office
"$ledger" make "$folder/l" key
say ledger show --key-file key l
say ledger verify --key-file key l
say ledger verify --key-file office l
say ledger correct --key-file key --signing-key-file office --id c1 --tenant coop --period 2026-12-01T00:00Z --corrects l:2 --reason "a test" --by office --statements -1 l
say ledger correct --key-file key --signing-key-file office --id c1 --tenant coop --period 2026-12-01T00:00Z --corrects l:2 --reason "a test" --by office --statements -1 l
say ledger show --key-file key l
say ledger export --key-file key l out.csv
cut -d, -f1,3- out.csv
say --json ledger export --key-file key --format json l out.json
wc -l < out.json
say ledger reconcile --key-file key l
printf 'x' | dd of=l/ledger-00000001.log bs=1 seek=120 conv=notrunc 2>/dev/null
say ledger verify --key-file key l | sed 's/at byte [0-9]*, //'
