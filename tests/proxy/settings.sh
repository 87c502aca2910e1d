# Starts the program with invalid settings files. For each, the program prints one line that names the
# file and the line, and exits with 1. This script prints the first line; it doesn't check the status.
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 1
run() {
  echo "-- $1"
  printf '%s\n' "$2" > f.hcl
  LB_CONFIG="$config" "$program" --settings f.hcl 2>&1 | head -n 1
}
config=$2
run "no HCL" 'cassandra {'
run "an unknown block" 'cassandre { }'
run "nothing in it" '# only a comment

cassandra {
}'
run "a text for a number" 'cassandra {
  listen  = "127.0.0.1:0"
  streams = "many"
}'
run "a workload that isn't there" 'cassandra {
  listen = "127.0.0.1:0"
  map {
    workload = "dreams"
    group    = 1
  }
}'
run "a variable" 'cassandra {
  listen = where
}'
echo "-- no file"
LB_CONFIG="$config" "$program" --settings none.hcl 2>&1 | head -n 1
