# Starts and stops the parts of a fleet on loopback, with the settings and resources of
# samples/$user. Source it after lib.sh.
# shellcheck shell=bash

# shellcheck disable=SC2154,SC2119,SC2120
user="${user:-academy}"
operator_token="operator-$RANDOM$RANDOM"
platform_port=0

# Per VM, by name.
declare -A vm_address=() vm_region=() vm_domain=()
declare -A entry_port=() lookup_port=() api_port=() peer_port=() local_port=() budget_port=()
# Per backend server, by name.
declare -A backend_port=()

# Names of the planned VMs in order.
vms=()

# --- Platform ----------------------------------------------------------------

start_platform() {
  free_port platform_port
  set_ini "$root/samples/$user/settings/platform-standin.ini" \
    listen.port="$platform_port" "$@" >"$work/platform.ini"
  start_daemon platform plantain-platform-standin "$work/platform.ini"
  wait_http "http://127.0.0.1:$platform_port/stats"
}

# platform_fault JSON: sets the faults of the platform; {} ends them.
platform_fault() {
  curl --silent --fail --max-time 5 --output /dev/null -X PUT -d "$1" \
    "http://127.0.0.1:$platform_port/fault"
}

# list_vm NAME ADDRESS LEAVING, unlist_vm NAME: change the platform's list of VMs.
list_vm() {
  curl --silent --fail --max-time 5 --output /dev/null -X PUT \
    -d "{\"address\":\"$2\",\"leaving\":$3}" "http://127.0.0.1:$platform_port/vms/$1"
}
unlist_vm() {
  curl --silent --fail --max-time 5 --output /dev/null -X DELETE \
    "http://127.0.0.1:$platform_port/vms/$1"
}

# --- Backend servers ---------------------------------------------------------

# backend_servers [SERVICE]: lines "NAME SERVICE REGION DOMAIN SLOTS CONNECTIONS" from
# the samples.
backend_servers() {
  sed -n 's/.*"name": "\([^"]*\)", "backend_server": {"service": "\([^"]*\)", "region": "\([^"]*\)", "failure_domain": "\([^"]*\)".*"slots": \([0-9]*\), "max_connections": \([0-9]*\).*/\1 \2 \3 \4 \5 \6/p' \
    "$root/samples/$user/30-backend-servers.json" |
    awk -v service="${1:-}" 'service == "" || $2 == service'
}

# start_backend NAME SLOTS [SECTION.KEY=VALUE...]
start_backend() {
  local name="$1" slots="$2"
  shift 2
  [ -n "${backend_port[$name]:-}" ] || free_port "backend_port[$name]"
  set_ini "$root/samples/$user/settings/backend-standin.ini" server.name="$name" \
    server.port="${backend_port[$name]}" server.slots="$slots" "$@" >"$work/$name.ini"
  start_daemon "$name" plantain-backend-standin "$work/$name.ini"
}

wait_backend() {
  wait_http "http://127.0.0.1:${backend_port[$1]}/load"
}

# start_backends [SECTION.KEY=VALUE...]: one stand-in for each backend server of the
# samples.
start_backends() {
  local name slots
  while read -r name _ _ _ slots _; do
    start_backend "$name" "$slots" "$@"
  done < <(backend_servers)
  while read -r name _; do
    wait_backend "$name" || return 1
  done < <(backend_servers)
}

# write_resources: copies the resources of the samples to $work/resources, with the
# loopback addresses of the stand-ins in place of the samples' own.
write_resources() {
  local name edits=""
  mkdir -p "$work/resources"
  cp "$root/samples/$user/"*.json "$work/resources/"
  for name in "${!backend_port[@]}"; do
    edits+="/\"name\": \"$name\"/ s/\"address\": \"[^\"]*\", \"port\": [0-9]*/\"address\": \"127.0.0.1\", \"port\": ${backend_port[$name]}/;"
  done
  sed -i "$edits" "$work/resources/30-backend-servers.json"
}

# --- Entry VMs ---------------------------------------------------------------

# regions: names of the regions in the samples.
regions() {
  sed -n 's/.*"name": "\([^"]*\)", "region":.*/\1/p' "$root/samples/$user/10-regions.json"
}

# plan_vm NAME REGION DOMAIN: chooses its address and ports.
plan_vm() {
  vms+=("$1")
  vm_address[$1]="127.0.0.$((10 + ${#vms[@]}))"
  vm_region[$1]="$2"
  vm_domain[$1]="$3"
  local port
  for port in entry lookup api peer local budget; do
    free_port "${port}_port[$1]" || return 1
  done
}

# Addresses of every planned VM's plantain-controld, as a list for seed_peers.
seed_peers() {
  local name list=""
  for name in "${!vm_address[@]}"; do
    list+="${list:+, }tcp://${vm_address[$name]}:${peer_port[$name]}"
  done
  echo "$list"
}

# start_vm NAME: writes its settings and starts its three daemons.
start_vm() {
  start_controld "$1" && start_lookupd "$1" && start_entryd "$1" &&
    list_vm "$1" "${vm_address[$1]}" false
}

# start_vms: starts every planned VM and waits for its resource API.
start_vms() {
  local vm
  for vm in "${vms[@]}"; do
    start_vm "$vm" || return 1
  done
  for vm in "${vms[@]}"; do
    wait_http "$(api_url "$vm")/metrics" || return 1
  done
}

# vm_settings NAME: the settings that all daemons of a VM share.
vm_settings() {
  printf '%s\n' "vm.name=$1" "vm.address=${vm_address[$1]}" "vm.region=${vm_region[$1]}" \
    "vm.failure_domain=${vm_domain[$1]}"
}

start_controld() {
  local settings
  mapfile -t settings < <(vm_settings "$1")
  set_ini "$root/samples/$user/settings/controld.ini" "${settings[@]}" \
    platform.address=127.0.0.1 platform.port="$platform_port" \
    api.port="${api_port[$1]}" api.operator_token="$operator_token" \
    ports.local="${local_port[$1]}" ports.peer="${peer_port[$1]}" \
    ports.entry="${entry_port[$1]}" ports.lookup="${lookup_port[$1]}" \
    ports.budget="${budget_port[$1]}" view.seed_peers="$(seed_peers)" >"$work/$1-controld.ini"
  start_daemon "$1-controld" plantain-controld "$work/$1-controld.ini"
}

start_lookupd() {
  local settings
  mapfile -t settings < <(vm_settings "$1")
  set_ini "$root/samples/$user/settings/lookupd.ini" "${settings[@]}" \
    control.address="${vm_address[$1]}" control.port="${local_port[$1]}" \
    lookup.port="${lookup_port[$1]}" >"$work/$1-lookupd.ini"
  start_daemon "$1-lookupd" plantain-lookupd "$work/$1-lookupd.ini"
}

# Further settings of every plantain-entryd, SECTION.KEY=VALUE.
entryd_extra=()

start_entryd() {
  local settings
  mapfile -t settings < <(vm_settings "$1")
  set_ini "$root/samples/$user/settings/entryd.ini" "${settings[@]}" \
    platform.address=127.0.0.1 platform.port="$platform_port" \
    control.address="${vm_address[$1]}" control.port="${local_port[$1]}" \
    entry.port="${entry_port[$1]}" entry.budget_port="${budget_port[$1]}" \
    "${entryd_extra[@]}" >"$work/$1-entryd.ini"
  start_daemon "$1-entryd" plantain-entryd "$work/$1-entryd.ini"
}

# stop_vm NAME: a planned stop, the daemon that serves callers first.
stop_vm() {
  local daemon worst=0
  list_vm "$1" "${vm_address[$1]}" true
  for daemon in entryd lookupd controld; do
    stop_daemon "$1-$daemon" || { echo "$1-$daemon ended with status $?"; worst=1; }
  done
  unlist_vm "$1"
  return $worst
}

# kill_vm NAME: an unplanned end; the platform's list drops the VM.
kill_vm() {
  local daemon
  for daemon in entryd lookupd controld; do
    kill -KILL "${pids[$1-$daemon]}"
    wait "${pids[$1-$daemon]}" 2>/dev/null || true
    unset "pids[$1-$daemon]"
  done
  unlist_vm "$1"
}

api_url() { echo "http://${vm_address[$1]}:${api_port[$1]}"; }
entry_url() { echo "http://${vm_address[$1]}:${entry_port[$1]}"; }
lookup_url() { echo "http://${vm_address[$1]}:${lookup_port[$1]}"; }

# wait_lookup VM SERVICE [SECONDS]: waits until the VM answers look-ups of the service.
wait_lookup() {
  wait_until "${3:-15}" curl --silent --fail --max-time 2 \
    "$(lookup_url "$1")/v1/lookup?service=$2"
}

# usable_vms VM: how many VMs its look-ups may name; a VM that has just joined is one
# only when its shares of the budgets can be used.
usable_vms() {
  curl --silent --fail --max-time 2 "$(lookup_url "$1")/.plantainhaven/metrics" |
    sed -n 's/^plantainhaven_usable_vms //p'
}

knows_usable() {
  [ "$(usable_vms "$1")" = "$2" ]
}

# wait_established [SECONDS]: waits until every VM names all of them.
wait_established() {
  local vm
  for vm in "${vms[@]}"; do
    if ! wait_until "${1:-120}" knows_usable "$vm" "${#vms[@]}"; then
      echo "$vm knows $(usable_vms "$vm") of ${#vms[@]} usable VMs" >&2
      return 1
    fi
  done
}

# targets VM SERVICE: names of the VMs in a look-up answer, one a line.
targets() {
  curl --silent --fail --max-time 2 "$(lookup_url "$1")/v1/lookup?service=$2" |
    grep -o '"vm":"[^"]*"' | cut -d'"' -f4
}

# --- Operators ---------------------------------------------------------------

# ctl VM ARGUMENTS...: plantainctl against the resource API of a VM.
ctl() {
  local vm="$1"
  shift
  PLANTAINCTL_TOKEN="$operator_token" "$bin/plantainctl" \
    --server "${vm_address[$vm]}:${api_port[$vm]}" "$@"
}

# apply_samples: writes all resources of the samples as one change.
apply_samples() {
  write_resources || return 1
  local file files=()
  for file in "$work/resources/"*.json; do
    files+=(-f "$file")
  done
  ctl "${vms[0]}" apply "${files[@]}"
}
