# Starts the front with configurations that make no sense and compares what it says with the kept trace.
front=$1
here=$(dirname "$0")
good="$here/../../example/config.json"
file=$(mktemp)
trap 'rm -f "$file"' EXIT

try() { # title, then the configuration's file
  echo "-- $1"
  LB_CONFIG=$2 "$front" 2>&1 | grep -v -e " lifecycle " -e " endpoint " | sed -e "s#$file#FILE#" -e 's/^[0-9]* //'
}
changed() { # title, then a sed command on the good configuration
  sed -e "$2" "$good" > "$file"
  try "$1" "$file"
}

{
  try "no file is named" ""
  try "the file is not there" "/nowhere"
  changed "an empty one" "d"
  changed "cut off" '5,$d'
  changed "no name" 's/"name": "example",//'
  changed "an address that is none" 's/127.0.0.1:7432/here/'
  changed "a seed that is none" 's/8c1f30d27a5be964/seed/'
  changed "a list that makes no sense" 's/"state": "up"/"state": "asleep"/'
  changed "a setting is missing" 's/"connect_timeout": 250000,//'
  changed "a setting makes no sense" 's/"cold_from": 0.27/"cold_from": 0/'
  changed "an unknown level" 's/"eventual"/"whenever"/'
  changed "too few sockets" 's/"sockets": 1024/"sockets": 20/'
  changed "an address that is not this machine's" 's/127.0.0.1:7432/192.0.2.1:7432/'
} | diff "$here/../traces/start.txt" -
