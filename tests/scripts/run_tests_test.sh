#!/usr/bin/env bash
# run_tests_test.sh PROGRAM: run-tests.sh passes over the cases of a list of known faults and over no others, also where
# a program lists so many cases that it is still writing when the name is found. PROGRAM is a test program with a case
# that is run by hand only.
set -uo pipefail
script=$(dirname "$0")/../../scripts/run-tests.sh
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

cat > "$folder/program" <<'PROGRAM'
#!/usr/bin/env bash
case "$*" in
  --list-test-names-only)
    echo first_known_case
    for ((i = 0; i < 20000; ++i)); do echo "case_$i"; done
    echo last_known_case
    ;;
  *'~"first_known_case"~"last_known_case"'*) exit "${REST:-0}" ;;
  *first_known_case* | *last_known_case*) exit 1 ;;
  *) echo "ran with: $*"; exit 1 ;;
esac
PROGRAM
chmod +x "$folder/program"
printf 'test: first_known_case last_known_case\ncommand: none\n\ntest: case_of_another_program\n' > "$folder/known"

failed=0
check() {
  if [ "$2" = "$3" ]; then echo "passed: $1"; else echo "failed: $1: $2 instead of $3"; failed=1; fi
}
output=$(bash "$script" "$folder/program" "$folder/known")
check "known_cases_that_fail_do_not_count" "$?" 0
check "known_cases_that_fail_are_printed" "$(grep -c '^known red: .* failed$' <<< "$output")" 2
REST=1 bash "$script" "$folder/program" "$folder/known" > /dev/null
check "other_cases_that_fail_count" "$?" 1

# With exclusions alone, Catch2 also selects the cases that are run by hand. The wrapper lists what a run would select.
cat > "$folder/wrapper" <<WRAPPER
#!/usr/bin/env bash
[ "\$1" = --list-test-names-only ] && exec "$program" "\$1"
"$program" --list-test-names-only "\${@:3}" > "$folder/selected"
WRAPPER
chmod +x "$folder/wrapper"
"$program" --list-test-names-only > "$folder/listed"
printf 'test: %s\n' "$(head -n 1 "$folder/listed")" > "$folder/first"
bash "$script" "$folder/wrapper" "$folder/first" > /dev/null
check "cases_run_by_hand_are_not_run_where_known_ones_are_excluded" \
  "$(cat "$folder/selected")" "$(tail -n +2 "$folder/listed")"
check "program_has_a_case_that_is_run_by_hand" "$("$program" --list-test-names-only '[.]' | grep -c _)" 1
exit "$failed"
