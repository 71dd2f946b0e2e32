#!/usr/bin/env bash
# Runs failure scenarios with real processes, one after the other, and prints a line for each.
#
# usage: scripts/failures.sh [agencia|wislanka] [SCENARIO...]
#
# Each function below whose name starts with scenario_ is a scenario. Flows may break only in the scenarios that pass
# --allow-broken, where the owner of flows is killed or paused or loses its address, an upstream is killed, or the
# fabric silences the path of flows. The overload scenario passes --allow-idle, as some callers get no
# answer in it. All other guarantees must hold in every scenario.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. scripts/lib.sh

if [ "${1:-}" = --one ]; then
  one=$2
  shift 2
fi
deployment_wanted=agencia
case ${1:-} in agencia | wislanka) deployment_wanted=$1; shift ;; esac

# With this load most slots are busy at any time, so that a failure affects running orders.
CALLER_ARGS="--orders 42 --pause 100ms"
UPSTREAM_ARGS="--work 80ms"

# begin starts a deployment under load and publishes a change, which each summary line needs for its
# revision_in_force_ms.
begin() {
  deployment_start "$deployment_wanted"
  load_start
  sleep 4
  sed 's/retry_after: 200ms/retry_after: 250ms/' "$work/tree.yaml" > "$work/tree-2.yaml"
  publish "$work/tree-2.yaml"
}

# finish waits until the load has ended and prints the summary line.
finish() {
  sleep 3
  flows_sample
  load_wait
  verdict "$@"
}

# An agent is paused for 3 s and acts on an old view after it resumes.
scenario_agent_pause() {
  begin
  kill -STOP "${pids[agent-2]}"
  sleep 3
  kill -CONT "${pids[agent-2]}"
  finish --allow-broken
}

# An agent is killed and restarted at the same address 3 s later.
scenario_agent_kill() {
  begin
  end agent-2 KILL
  sleep 3
  agent_start "$desk" 2
  sleep 3
  finish --allow-broken
}

# An upstream is marked as leaving and its agent shuts down gracefully.
scenario_agent_stop() {
  begin
  mark_leaving 3
  sleep 1
  kill -TERM "${pids[agent-3]}"
  wait "${pids[agent-3]}" || say "agent 3 exited with status $?"
  unset "pids[agent-3]"
  finish
}

# An upstream of the store service is marked as leaving and its agent shuts down gracefully during downloads.
scenario_store_stop() {
  begin
  mark_leaving 12
  sleep 1
  kill -TERM "${pids[agent-12]}"
  wait "${pids[agent-12]}" || say "agent 12 exited with status $?"
  unset "pids[agent-12]"
  finish
}

# An agent is paused for 8 s, longer than its peers wait for it, with requests in its socket buffers.
scenario_agent_long_pause() {
  begin
  kill -STOP "${pids[agent-2]}"
  sleep 8
  kill -CONT "${pids[agent-2]}"
  finish --allow-broken
}

# A balancer and an agent are killed at the same time, while another agent is paused.
scenario_double_failure() {
  begin
  kill -STOP "${pids[agent-5]}"
  end agent-2 KILL
  balancer_kill 2
  kill -CONT "${pids[agent-5]}"
  balancer_start 4
  agent_start "$desk" 2
  routes_set 1 3 4
  finish --allow-broken
}

# An upstream is killed and restarted 3 s later while its agent keeps running.
scenario_upstream_kill() {
  begin
  end upstream-2 KILL
  sleep 3
  upstream_start "$desk" 2
  finish --allow-broken
}

# An upstream is paused for 4 s: its requests hang and its health endpoint does not answer.
scenario_upstream_pause() {
  begin
  kill -STOP "${pids[upstream-2]}"
  sleep 4
  kill -CONT "${pids[upstream-2]}"
  finish
}

# The health endpoint of every upstream reports idle regardless of its load.
scenario_health_idle() {
  UPSTREAM_ARGS="--work 80ms --health idle"
  begin
  sleep 5
  finish
}

# Far more orders arrive than the slots can run.
scenario_overload() {
  CALLER_ARGS="--orders 600 --pause 20ms"
  UPSTREAM_ARGS="--work 300ms"
  begin
  sleep 5
  finish --allow-idle
}

# Two agents of different services are killed and restart with their addresses exchanged.
scenario_address_reuse() {
  begin
  end agent-2 KILL
  end agent-11 KILL
  sed -E -e "s/(127.0.0.1:$prefix)102\"/\1AAA\"/; s/(127.0.0.1:$prefix)111\"/\1102\"/; s/AAA/111/" \
    -e "s/(127.0.0.1:$prefix)202\"/\1BBB\"/; s/(127.0.0.1:$prefix)211\"/\1202\"/; s/BBB/211/" \
    "$work/tree-2.yaml" > "$work/tree-4.yaml"
  publish "$work/tree-4.yaml"
  agent_peer_port=([2]=211 [11]=202)
  agent_start "$desk" 2
  agent_start "$store" 11
  sleep 2
  finish --allow-broken
}

# The balancers are replaced one after the other.
scenario_balancer_roll() {
  begin
  balancer_start 4
  bin/standin-control ready --operators "$(operators)" --timeout 6s
  routes_set 1 2 3 4
  balancer_stop 1 2 3 4
  balancer_start 5
  bin/standin-control ready --operators "$(operators)" --timeout 6s
  balancer_stop 2 3 4 5
  balancer_start 6
  bin/standin-control ready --operators "$(operators)" --timeout 6s
  balancer_stop 3 4 5 6
  finish
}

# A balancer is paused for 5 s while the fabric keeps forwarding packets to it.
scenario_balancer_pause() {
  begin
  kill -STOP "${pids[balancer-2]}"
  sleep 5
  kill -CONT "${pids[balancer-2]}"
  finish
}

# The platform is down while a balancer is killed and its replacement starts. The replacement has only its seed peers
# to fetch settings from.
scenario_platform_outage() {
  begin
  bin/standin-control platform-faults --platform "http://$(at 900)" --outage
  balancer_kill 2
  balancer_start 4 --seeds "$(at 801),$(at 803)"
  bin/standin-control ready --operators "$(operators)" --timeout 6s
  routes_set 1 3 4
  sleep 2
  bin/standin-control platform-faults --platform "http://$(at 900)"
  publish "$work/tree.yaml"
  finish
}

# The platform is down while an agent is killed and its replacement starts. The replacement has only its seed peers to
# fetch settings from.
scenario_platform_outage_agent() {
  begin
  bin/standin-control platform-faults --platform "http://$(at 900)" --outage
  end agent-2 KILL
  agent_start "$desk" 2 --seeds "$(at 203),$(at 211)"
  bin/standin-control ready --operators "$(operators)" --timeout 8s
  bin/standin-control revision --operators "$(operators)" --at-least 2
  sleep 3
  bin/standin-control platform-faults --platform "http://$(at 900)"
  finish --allow-broken
}

# All balancers are killed and replaced 1 s later.
scenario_all_balancers_kill() {
  begin
  for n in 1 2 3; do end "balancer-$n" KILL; done
  sleep 1
  for n in 1 2 3; do balancer_start "$n"; done
  bin/standin-control ready --operators "$(operators)" --timeout 8s
  finish
}

# The platform answers with an old revision while a new balancer starts. No process may return to that revision.
scenario_platform_stale() {
  begin
  bin/standin-control platform-faults --platform "http://$(at 900)" --stale 1
  balancer_kill 2
  balancer_start 4
  bin/standin-control ready --operators "$(operators)" --timeout 6s
  bin/standin-control revision --operators "$(operators)" --at-least 2 --for 3s
  routes_set 1 3 4
  bin/standin-control platform-faults --platform "http://$(at 900)"
  finish
}

# The fabric drops 2 % of the packets in each direction and delays the others by 5 ms.
scenario_fabric_loss() {
  begin
  bin/standin-control fabric-faults --fabric "$(at 901)" --drop 0.02 --delay 5ms
  sleep 8
  bin/standin-control fabric-faults --fabric "$(at 901)"
  finish
}

# One balancer is cut off from the fabric for 6 s but keeps running.
scenario_fabric_cut() {
  begin
  bin/standin-control fabric-faults --fabric "$(at 901)" --cut "$(at 612),$(at 622)"
  sleep 6
  bin/standin-control fabric-faults --fabric "$(at 901)"
  finish
}

# The fabric drops all packets on the existing caller paths permanently, while new paths work.
scenario_fabric_silence() {
  begin
  bin/standin-control silence --fabric "$(at 901)" >&2
  sleep 8
  finish --allow-broken
}

if [ -n "${one:-}" ]; then
  set -e
  "scenario_$one"
  exit
fi

scenarios=${*:-$(declare -F | sed -n 's/^declare -f scenario_//p')}
export DURATION=${DURATION:-18s}
failed=0
for scenario in $scenarios; do
  line=$(scripts/failures.sh --one "$scenario" "$deployment_wanted") && result=pass || { result=fail; failed=1; }
  echo "scenario=$scenario deployment=$deployment_wanted result=$result $(tail -n 1 <<< "$line")"
done
exit $failed
