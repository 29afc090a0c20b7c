#!/usr/bin/env bash
# Runs the build of deploy/system.toml as on a machine that holds only the
# packages listed there. Guards against a build that needs a program, a file or
# a folder of the repository that such a machine lacks: the program that is
# started there would be missing.
set -euo pipefail
cd "$(dirname "$0")/../.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# value_of KEY: the value of a top-level key of deploy/system.toml.
value_of() {
  sed -n "s/^$1 = //p" deploy/system.toml
}
read -ra listed <<<"$(value_of packages | tr -d '[]",' )"
build=$(value_of build | sed 's/^"\(.*\)"$/\1/')

# Packages of such a machine: the listed ones, what they depend on, and those
# that every Debian system has.
mapfile -t essential < <(dpkg-query -W -f='${Essential} ${Package}\n' | sed -n 's/^yes //p')
apt-cache depends --recurse --installed --no-recommends --no-suggests \
  --no-conflicts --no-breaks --no-replaces --no-enhances \
  "${listed[@]}" "${essential[@]}" | sed -n 's/^\([^ <|:]*\).*/\1/p' |
  grep . | sort -u > "$dir/packages"
for package in "${listed[@]}"; do
  if ! grep -qx "$package" "$dir/packages"; then
    echo "$package is listed, but not installed"
    exit 1
  fi
done

# Only their programs are on the path, and only their modules are known to
# pkg-config.
mkdir "$dir/bin" "$dir/pkgconfig" "$dir/source"
xargs dpkg-query -L < "$dir/packages" > "$dir/files" 2>/dev/null || true
grep -E '^(/usr)?/s?bin/[^/]+$' "$dir/files" | while read -r program; do
  ln -sf "$program" "$dir/bin/$(basename "$program")"
done
grep -E '/pkgconfig/[^/]+\.pc$' "$dir/files" | while read -r module; do
  ln -sf "$module" "$dir/pkgconfig/$(basename "$module")"
done

# The build must need neither the tests nor what only developers use.
git ls-files --cached --others --exclude-standard |
  grep -vE '^(test|review|tools|examples|scripts|docs|journal)/' |
  xargs -d '\n' cp --parents -t "$dir/source"
if ! (cd "$dir/source" &&
      env -i PATH="$dir/bin" HOME="$dir" PKG_CONFIG_LIBDIR="$dir/pkgconfig" \
        /bin/sh -c "$build") > "$dir/output" 2>&1; then
  echo "the build of deploy/system.toml failed:"
  grep -iE 'error|not found|could not' "$dir/output" | head -n 20
  exit 1
fi
target=$dir/source/target
run=$(sed -n 's/^run = "\([^ ]*\).*/\1/p' deploy/system.toml)
[ -x "$dir/source/$run" ]
if grep 'warning:' "$dir/output"; then
  echo "the build of deploy/system.toml has warnings"
  exit 1
fi

# Every file that CMake, the compiler or the linker read, and every library that
# the program loads, belongs to one of the packages.
cat > "$dir/main.cpp" <<<'int main() {}'
{
  grep -oE '"/[^"]*"' "$target/CMakeFiles/Makefile.cmake" | tr -d '"'
  find "$target" -name '*.o.d' -exec cat {} + | grep -oE '(^| )/[^ :\\]+'
  ldd "$dir/source/$run" | grep -oE '/[^ ]+'
  find "$target" -name link.txt -exec cat {} + | grep -oE ' (/|-l)[^ ]+' |
    while read -r name; do
      [[ $name == -l* ]] && name=$(g++ -print-file-name="lib${name#-l}.so")
      echo "$name"
    done
} | xargs realpath -s | grep -vE "^$dir/" | sort -u > "$dir/read"
sed -E 's,^/usr/(lib|bin)/,/\1/,' "$dir/files" > "$dir/files_unmerged"
others=$(grep -vxFf "$dir/files" "$dir/read" |
         sed -E 's,^/usr/(lib|bin)/,/\1/,' |
         grep -vxFf "$dir/files_unmerged" || true)
if [ -n "$others" ]; then
  echo "files read that belong to no package of the list:"
  head -n 20 <<<"$others"
  exit 1
fi
echo "built with $(wc -l < "$dir/packages") packages, $(wc -l < "$dir/read") files read"
