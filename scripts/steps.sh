# Steps of a demo: each is reported in plain words, the last line counts them. Source it
# after lib.sh, with $work set.
# shellcheck shell=bash

passed=0
failed=0

finish() {
  stop_all
  if [ "${KEEP:-0}" = 1 ] || [ "$failed" -gt 0 ]; then
    echo "logs: $work"
  else
    rm -rf "$work"
  fi
}
trap finish EXIT
trap 'exit 130' INT TERM

# Most lines shown of a failed step.
readonly shown_lines=15

show() {
  head -n $shown_lines | sed 's/^/      /'
}

# step WORDS COMMAND...: runs the command and reports how the step went.
step() {
  local words="$1" output
  shift
  if output="$("$@" 2>&1)"; then
    passed=$((passed + 1))
    echo "ok    $words${output:+ ($(tail -n 1 <<<"$output"))}"
  else
    failed=$((failed + 1))
    echo "FAIL  $words"
    show <<<"$output"
  fi
}

# Like step, for commands that must run in this shell because they start processes or
# set variables. A failure ends the demo: the later steps build on it.
must() {
  local words="$1"
  shift
  if "$@" >"$work/step.log" 2>&1; then
    passed=$((passed + 1))
    echo "ok    $words"
  else
    failed=$((failed + 1))
    echo "FAIL  $words"
    show <"$work/step.log"
    end
  fi
}

end() {
  echo "demo: $passed steps passed, $failed failed"
  [ "$failed" = 0 ]
  exit
}
