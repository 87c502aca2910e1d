# deploy/sites/lay on a made-up folder, named from where it is called: relative, whole, with a blank, and wrong ones.
root=$1
folder=$(mktemp -d)
trap 'chmod -R u+w "$folder" && rm -rf "$folder"' EXIT
cd "$folder" || exit 1
mkdir -p tree/deploy/sites "our given/kit/sites" "our given/kit/more/mass/other"
cp "$root/deploy/sites/lay" tree/deploy/sites
for f in sites/real.json sites/wire.json more/mass/other/unlock.txt; do
  echo "$f" > "our given/kit/$f" && chmod a-w "our given/kit/$f"
done
try() { # title, then what is called
  echo "-- $1"
  shift
  if "$@" 2>/dev/null; then echo laid; else echo refused; fi
  (cd "$folder/tree/deploy/sites" && for f in *.*; do [ ! -w "$f" ] || echo "$f: $(cat "$f")"; done; rm -f ./*.*)
}
{
  try "from above the tree" sh tree/deploy/sites/lay "our given"
  cd tree && try "from the tree" sh deploy/sites/lay "../our given"
  cd deploy/sites && try "from its own folder" sh lay "../../../our given"
  try "by its whole path" sh lay "$folder/our given"
  try "twice" sh -c 'sh lay "$1" && sh lay "$1"' sh "$folder/our given"
  try "a folder that isn't there" sh lay nowhere
  try "none named" sh lay
} | diff "$root/tests/traces/lay.txt" -
