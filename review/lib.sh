# Functions that the scripts of the cases share; $case_dir and $record are set. They start processes on
# loopback addresses and end those that they started.
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$top"
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
REVIEW_START=$(date +%s%3N)
export REVIEW_START
: > "$record"

end_processes() {
  for pid in "${pids[@]}"; do
    disown "$pid" 2> /dev/null || true
    kill -9 "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap end_processes EXIT

unable() {
  echo "the case couldn't run: $1" | tee -a "$record"
  exit 2
}

# wait_for PATTERN FILE SECONDS
wait_for() {
  local end=$((SECONDS + $3))
  while [ $SECONDS -lt $end ]; do
    if grep -q "$1" "$2" 2> /dev/null; then return; fi
    sleep 0.1
  done
  unable "no $1 within $3 s"
}

# start_platform ARGUMENT...: the store and the instances, $platform_class or Platform; sets $store
start_platform() {
  java -Xmx128m -cp target/review:target/carobstage.jar "org.carobstage.review.${platform_class:-Platform}" \
    "$record" "$@" > "$work/platform.out" 2> "$work/platform.err" &
  pids+=($!)
  wait_for '^store ' "$work/platform.out" 20
  store=$(sed -n 's/^store //p' "$work/platform.out")
}

# start_front NAME: a process with the command of the deploy file; sets $port and $front
start_front() {
  port=$(bin/free-port)
  cat > "$work/$1.ini" << INI
[vm]
id = $1
domain = domain-a
[front]
listen = 127.0.0.1:$port
readiness-listen = 127.0.0.1:$(bin/free-port)
metrics-listen = 127.0.0.1:$(bin/free-port)
[platform]
store = $store
orders = $store
enforces-fencing = yes
[stop]
limit = 6 s
INI
  local command
  command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
  [ -n "$command" ] || unable "no command in deploy/system.toml"
  CAROBSTAGE_SETTINGS=$work/$1.ini $command > "$work/$1.log" 2>&1 &
  front=$!
  pids+=("$front")
  wait_for PRIMARY_KNOWN "$work/$1.log" 30
  # Lets the connections to the instances open.
  sleep 2
}

# client CLASS ARGUMENT...: runs the client of a case; its exit status is that of the case
client() {
  local class=$1
  shift
  set +e
  java -Xmx64m -cp target/review:target/carobstage.jar "org.carobstage.review.$class" "$@" \
    2>> "$record"
  status=$?
  set -e
  case $status in
    0) echo "the rule held" | tee -a "$record" ;;
    1) echo "the rule was broken" | tee -a "$record" ;;
    *) unable "client ended with $status" ;;
  esac
  exit "$status"
}
