# Functions that run one deployment on loopback. The other scripts of this folder source this file from the root of
# the repository. Each process of a deployment is started here and ended by its process ID.

# The numbers of the upstreams in the example settings trees.
desk_numbers="1 2 3 4 5 6 7"
store_numbers="11 12 13"

declare -A pids=()
agent_peer_port=() # by upstream number; the default is 200 + NUMBER
in_force_ms=0
leaving_number=0
leaving_since=0

say() { echo "$(date +%T) $*" >&2; }

# port_prefix prints the first two digits of a range of 1000 free ports below the ephemeral port range.
port_prefix() {
  local prefix
  for prefix in $(seq 20 31 | shuf); do
    if ! awk -v prefix="$prefix" '
      function hex(s,  i, n) { for (i = 1; i <= length(s); i++) n = n * 16 + index("0123456789ABCDEF", substr(s, i, 1)) - 1; return n }
      { split($2, a, ":"); if ($4 != "06" && int(hex(a[2]) / 1000) == prefix) used = 1 }
      END { exit !used }' /proc/net/tcp /proc/net/udp /proc/net/tcp6 /proc/net/udp6; then
      echo "$prefix"
      return
    fi
  done
  echo "no range of 1000 ports between 20000 and 31999 is free" >&2
  return 1
}

# at prints a loopback address in the port range of this run, given the last three digits of the port.
at() { printf '127.0.0.1:%s%03d' "$prefix" "$1"; }

# run NAME PROGRAM ARGS... starts a process that writes to its own log.
run() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# end NAME SIGNAL sends a signal to a process and waits for its exit.
end() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  kill -"$2" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# cleanup ends every process of this run: with SIGTERM, and with SIGKILL those that are still running after 5 s. It
# first resumes the processes that are paused. The logs are removed after a success, unless KEEP is set.
cleanup() {
  local status=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  local deadline=$((SECONDS + 5))
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.05; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  if [ $status -eq 0 ] && [ -z "${KEEP:-}" ]; then rm -rf "$work"; else say "logs are in $work"; fi
  exit $status
}

# place_of NUMBER prints the place of a balancer. Balancers are assigned to the places in turn.
place_of() {
  local list=(${places[@]})
  echo "${list[$(( ($1 - 1) % ${#list[@]} ))]}"
}

# deployment_start NAME starts the platform, the fabric, the upstreams with their agents, and three balancers.
deployment_start() {
  deployment=$1
  case $deployment in
    agencia) desk=orders store=certificates slots=5 places=(bog-norte bog-centro bog-sur) ;;
    wislanka) desk=desk store=photos slots=7 places=(waw-praga waw-wola waw-mokotow) ;;
    *) echo "unknown deployment $deployment: agencia or wislanka" >&2; exit 2 ;;
  esac
  prefix=$(port_prefix)
  work=$(mktemp -d "${TMPDIR:-/tmp}/bramleyrack.XXXXXX")
  trap cleanup EXIT
  trap 'exit 130' INT TERM
  say "start $deployment on ports ${prefix}000 to ${prefix}999"
  sed "s/127\.0\.0\.1:20/127.0.0.1:$prefix/g" "examples/$deployment.yaml" > "$work/tree.yaml"
  secrets_make
  vms_write
  run platform bin/standin-platform --listen "$(at 900)" --tree "$work/tree.yaml" --vms "$work/vms.yaml"
  run fabric bin/standin-fabric --services "$desk=$(at 1),$store=$(at 2)" --control "$(at 901)" --seed "${SEED:-1}" ${RECORD:+--record "$RECORD"}
  local n
  for n in $desk_numbers; do upstream_start "$desk" "$n"; agent_start "$desk" "$n"; done
  for n in $store_numbers; do upstream_start "$store" "$n"; agent_start "$store" "$n"; done
  for n in 1 2 3; do balancer_start "$n"; done
  bin/standin-control ready --operators "$(operators)" --timeout 15s
  routes_set 1 2 3
}

# secrets_make creates the keys and certificates of this run and exports them in the environment.
secrets_make() {
  bin/bramleyctl keygen --dir "$work/secrets" > /dev/null
  set -a
  . "$work/secrets/env"
  set +a
}

# place_of_upstream NUMBER prints the place of an upstream in the settings tree.
place_of_upstream() {
  awk -v number="$1" '
    /^  [a-z-]+:$/ { place = $1; sub(":", "", place) }
    index($0, "{number: " number ",") && /agent:/ { print place; exit }' "$work/tree.yaml"
}

# vms_write writes the list of VMs that the platform serves.
vms_write() {
  local n
  {
    for n in 1 2 3; do
      echo "- {name: balancer-$n, place: $(place_of "$n"), address: \"$(at $((800 + n)))\", role: entry}"
    done
    for n in $desk_numbers $store_numbers; do
      echo "- {name: server-$n, place: $(place_of_upstream "$n"), address: \"$(at $((200 + n)))\", role: upstream}"
    done
  } > "$work/vms.yaml"
}

upstream_start() { # SERVICE NUMBER
  run "upstream-$2" bin/standin-upstream --service "$1" --number "$2" --slots "$slots" \
    --listen "$(at $((300 + $2)))" --operator "$(at $((500 + $2)))" \
    --journal "$work/runs-$2.json" ${UPSTREAM_ARGS:-}
}

agent_start() { # SERVICE NUMBER ARGS...
  local number=$2
  [ "$1" = "$store" ] && number=$((number - 10)) # Upstream 11 is the first of the store service.
  run "agent-$2" bin/bramley-agent --vm "server-$2" --place "$(place_of_upstream "$2")" \
    --platform "http://$(at 900)" --service "$1" --upstream "$1-$number" \
    --peer-listen "$(at "${agent_peer_port[$2]:-$((200 + $2))}")" --operator "$(at $((400 + $2)))" "${@:3}"
}

balancer_start() { # NUMBER ARGS...
  local n=$1
  shift
  run "balancer-$n" bin/bramley-balancer --vm "balancer-$n" --place "$(place_of "$n")" \
    --platform "http://$(at 900)" --peer-listen "$(at $((800 + n)))" --agent-listen "$(at $((700 + n)))" \
    --operator "$(at $((600 + n)))" --bind "$desk=$(at $((610 + n))),$store=$(at $((620 + n)))" "$@"
}

# vm_set NUMBER ARGS... changes the entry of a balancer in the list of VMs.
vm_set() {
  local n=$1
  shift
  bin/standin-control vm --platform "http://$(at 900)" --name "balancer-$n" --place "$(place_of "$n")" \
    --address "$(at $((800 + n)))" --role entry "$@"
}

# routes_set NUMBER... makes the fabric forward packets to these balancers only.
routes_set() {
  local n desks="" stores=""
  for n in "$@"; do
    desks+="$(at $((610 + n))),"
    stores+="$(at $((620 + n))),"
  done
  bin/standin-control routes --fabric "$(at 901)" "$desk=$desks" "$store=$stores"
}

# balancer_stop NUMBER ROUTED... shuts a balancer down gracefully. The fabric forwards packets to it for 1 s more,
# and then only to the ROUTED balancers.
balancer_stop() {
  local n=$1
  vm_set "$n" --state leaving
  kill -TERM "${pids[balancer-$n]}"
  sleep 1
  shift
  routes_set "$@"
  set -- "$n"
  wait "${pids[balancer-$1]}"
  unset "pids[balancer-$1]"
  vm_set "$1" --remove
}

# balancer_kill NUMBER kills a balancer. Its entry in the list of VMs stays for 2 s more, and the fabric forwards
# packets to it until the routes change.
balancer_kill() {
  end "balancer-$1" KILL
  sleep 2
  vm_set "$1" --remove
}

# operators prints the operator addresses of the running agents and balancers.
operators() {
  local name list=""
  for name in "${!pids[@]}"; do
    case $name in
      agent-*) list+="$(at $((400 + ${name#agent-}))),";;
      balancer-*) list+="$(at $((600 + ${name#balancer-}))),";;
    esac
  done
  echo "$list"
}

# publish FILE publishes a settings tree. It sets published_ms to the time of publication, and in_force_ms to the
# longest time so far from a publication until the tree was in force in every process.
publish() {
  local line ms
  line=$(bin/standin-control publish --platform "http://$(at 900)" --operators "$(operators)" "$1")
  say "$line"
  ms=${line##*in_force_ms=}
  published_ms=${line#*published_ms=}
  published_ms=${published_ms%% *}
  [ "$ms" -le "$in_force_ms" ] || in_force_ms=$ms
}

# mark_leaving NUMBER publishes the tree of the last change (tree-2.yaml) with an upstream marked as leaving.
mark_leaving() {
  sed -E "s/^( +[a-z]+-[0-9]+: \{number: $1, .*)\}\$/\1, leaving: true}/" "$work/tree-2.yaml" > "$work/tree-3.yaml"
  publish "$work/tree-3.yaml"
  leaving_number=$1
  leaving_since=$published_ms
}

# load_start starts the callers, with a bounded number of workers for each kind of call.
load_start() {
  local kinds
  case $deployment in
    agencia) kinds="--feeds 56 --orders 14 --sheets 21 --downloads 9" ;;
    wislanka) kinds="--feeds 56 --orders 28 --photos 6 --downloads 6" ;;
  esac
  run caller bin/standin-caller --desk-service "$desk" --desk "$(at 1)" --store-service "$store" --store "$(at 2)" \
    --duration "${DURATION:-26s}" --seed "${SEED:-1}" --result "$work/result.json" $kinds ${CALLER_ARGS:-}
  say "load started: $kinds ${CALLER_ARGS:-}"
}

# load_wait waits until the callers have ended.
load_wait() {
  wait "${pids[caller]}"
  unset "pids[caller]"
}

# flows_sample stores the mean number of flows that each running agent holds, from samples taken now.
flows_sample() {
  local name list=""
  for name in "${!pids[@]}"; do
    case $name in agent-*) list+="${name#agent-}=$(at $((400 + ${name#agent-}))),";; esac
  done
  bin/standin-control flows --agents "$list" > "$work/flows.json"
}

# verdict prints the summary line, and fails if a guarantee is violated. In that case it also prints the problems
# that the callers recorded.
verdict() {
  local n list="" status=0
  for n in $desk_numbers $store_numbers; do list+="$(at $((500 + n))),"; done
  bin/standin-control platform-stats --platform "http://$(at 900)" >&2
  bin/standin-control verdict --result "$work/result.json" --flows "$work/flows.json" --upstreams "$list" \
    --leaving "$leaving_number" --leaving-since "$leaving_since" --in-force "${in_force_ms}ms" "$@" || status=$?
  [ $status -eq 0 ] || sed -n '/"problems"/,$p' "$work/result.json" >&2
  return $status
}
