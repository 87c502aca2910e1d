# Starts the proxy with invalid configurations and compares its error messages with
# tests/traces/start.txt.
proxy=$1
test_dir=$(dirname "$0")
valid="$test_dir/../../example/config.json"
file=$(mktemp)
trap 'rm -f "$file"' EXIT

try() { # title, configuration file
  echo "-- $1"
  LB_CONFIG=$2 "$proxy" 2>&1 | grep -v -e " lifecycle " -e " endpoint " | sed -e "s#$file#FILE#" -e 's/^[0-9]* //'
}
try_edited() { # title, sed command for the valid configuration
  sed -e "$2" "$valid" > "$file"
  try "$1" "$file"
}

{
  try "no file is named" ""
  try "the file is not there" "/nowhere"
  try_edited "an empty one" "d"
  try_edited "cut off" '5,$d'
  try_edited "no name" 's/"name": "example",//'
  try_edited "an address that is none" 's/127.0.0.1:7432/here/'
  try_edited "a seed that is none" 's/8c1f30d27a5be964/seed/'
  try_edited "a list that makes no sense" 's/"state": "up"/"state": "asleep"/'
  try_edited "a setting is missing" 's/"connect_timeout": 250000,//'
  try_edited "a setting makes no sense" 's/"cold_from": 0.27/"cold_from": 0/'
  try_edited "an unknown level" 's/"eventual"/"whenever"/'
  try_edited "too few sockets" 's/"sockets": 1024/"sockets": 20/'
  try_edited "an address that is not this machine's" 's/127.0.0.1:7432/192.0.2.1:7432/'
} | diff "$test_dir/../traces/start.txt" -
