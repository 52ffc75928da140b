# Functions shared by the scripts that start a fleet on loopback. Source it.
# shellcheck shell=bash

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
# Folder of the programs; set PLANTAINHAVEN_BUILD to use another build.
bin="${PLANTAINHAVEN_BUILD:-$root/build}"
# Folder of logs and generated files; the script that sources this sets it.
work="${work:-}"

# --- Ports -------------------------------------------------------------------
# Each script holds one block of ports below the kernel's ephemeral range. An open,
# locked file guards the block, so that two scripts at once never share a port; the
# kernel lets go of the lock when the script and its children have ended.

readonly first_port=20000
readonly ports_per_block=200
readonly port_blocks=60
port_cursor=0
port_limit=0

claim_port_block() {
  local folder="/tmp/plantainhaven-ports" start=$((RANDOM % port_blocks)) i block
  mkdir -p "$folder"
  chmod a+rwx "$folder" 2>/dev/null || true
  for ((i = 0; i < port_blocks; i++)); do
    block=$(((start + i) % port_blocks))
    exec {port_lock}>>"$folder/$block" || continue
    if flock -n "$port_lock"; then
      port_cursor=$((first_port + block * ports_per_block))
      port_limit=$((port_cursor + ports_per_block))
      return 0
    fi
    exec {port_lock}>&-
  done
  echo "no free block of ports: $port_blocks scripts are running already" >&2
  return 1
}

# free_port VARIABLE: sets it to the next port of the block that nobody listens on.
free_port() {
  [ "$port_limit" -gt 0 ] || claim_port_block || return 1
  while [ "$port_cursor" -lt "$port_limit" ]; do
    local port=$port_cursor
    port_cursor=$((port_cursor + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      printf -v "$1" '%s' "$port"
      return 0
    fi
  done
  echo "no free port left in the block that ends at $port_limit" >&2
  return 1
}

# --- Processes ---------------------------------------------------------------

declare -A pids=()

# start_daemon LABEL PROGRAM CONFIG: starts it in the background; its output goes to
# $work/LABEL.log.
start_daemon() {
  "$bin/$2" --config "$3" >"$work/$1.log" 2>&1 &
  pids[$1]=$!
}

# is_running LABEL: true while the process lives.
is_running() {
  [ -n "${pids[$1]:-}" ] && kill -0 "${pids[$1]}" 2>/dev/null
}

# stop_daemon LABEL: asks it to stop and returns its exit status.
stop_daemon() {
  local pid="${pids[$1]}" status=0
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid" || status=$?
  unset "pids[$1]"
  return $status
}

# stop_daemons LABEL...: asks all of them to stop at once; fails unless each exits 0.
stop_daemons() {
  local label worst=0
  for label in "$@"; do
    kill -TERM "${pids[$label]}" 2>/dev/null || true
  done
  for label in "$@"; do
    stop_daemon "$label" || { echo "$label ended with status $?" >&2; worst=1; }
  done
  return $worst
}

# stop_all: ends every process started here, by its id; those that outlive five
# seconds are killed. For use in an EXIT trap.
stop_all() {
  local label tries
  for label in "${!pids[@]}"; do
    kill -CONT "${pids[$label]}" 2>/dev/null || true
    kill -TERM "${pids[$label]}" 2>/dev/null || true
  done
  for ((tries = 0; tries < 50; tries++)); do
    any_running || break
    sleep 0.1
  done
  for label in "${!pids[@]}"; do
    kill -KILL "${pids[$label]}" 2>/dev/null || true
    wait "${pids[$label]}" 2>/dev/null || true
    unset "pids[$label]"
  done
}

any_running() {
  local label
  for label in "${!pids[@]}"; do
    ! is_running "$label" || return 0
  done
  return 1
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# answers URL: true when something answers HTTP there, whatever the status.
answers() {
  curl --silent --output /dev/null --max-time 2 "$1"
}

# wait_http URL [SECONDS]: waits until something answers HTTP there.
wait_http() {
  wait_until "${2:-10}" answers "$1"
}

# --- Settings ----------------------------------------------------------------

# set_ini SOURCE SECTION.KEY=VALUE...: prints the settings file with these keys
# replaced; a key that the file lacks is added to its section.
set_ini() {
  local source="$1"
  shift
  printf '%s\n' "$@" | awk -v source="$source" '
    function flush_section(   pair, at) {
      for (pair in wanted) {
        at = index(pair, ".")
        if (substr(pair, 1, at - 1) == section) {
          print substr(pair, at + 1) " = " wanted[pair]
          delete wanted[pair]
        }
      }
    }
    { at = index($0, "="); wanted[substr($0, 1, at - 1)] = substr($0, at + 1) }
    END {
      while ((getline line < source) > 0) {
        if (line ~ /^\[/) {
          flush_section()
          section = line
          gsub(/[][]/, "", section)
        } else if (line ~ /^[a-z_]+ *=/) {
          key = line
          sub(/ *=.*/, "", key)
          if ((section "." key) in wanted) {
            line = key " = " wanted[section "." key]
            delete wanted[section "." key]
          }
        }
        if (line == "") flush_section()
        print line
      }
      flush_section()
      for (pair in wanted) { print "set_ini: no section for " pair > "/dev/stderr"; failed = 1 }
      exit failed
    }'
}
