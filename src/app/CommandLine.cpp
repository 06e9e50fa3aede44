#include "app/CommandLine.h"

#include <charconv>
#include <iostream>

namespace rr {

const char *const UsageText =
    R"(redwingrack: global traffic steering for teams that share it.

Usage:
  redwingrack serve --config=FILE
  redwingrack steer
  redwingrack check-config FILE [--json]
  redwingrack lookup ADDRESS [--instance=ADDR] [--json]
  redwingrack plan load-config FILE [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan take-on WORKSPACE --rate=N --burst=N --region=NAME... [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan set-rate WORKSPACE --rate=N --burst=N [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan shift WORKSPACE --to=REGION --share=N --by=TIME [--from=REGION] [--cap=N] [--steps=N] [--at-deadline=WHAT] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan drain SERVER [--undo] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan rollout SERVICE --version-name=NAME --by=TIME [--soak-s=N] [--at-deadline=WHAT] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan issue-key WORKSPACE [--key=KEY] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan withdraw-key KEY [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack plan declare-lost INSTANCE [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack show [PLAN] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack confirm PLAN [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack take-back PLAN [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack watch PLAN [--for-s=N] [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack status [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack fleet [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack audit [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack key-report KEY [--admin=ADDR] [--token-file=FILE] [--json]
  redwingrack events
  redwingrack metrics
  redwingrack --help
  redwingrack --version

"steer" runs an instance on the users' platform, with the settings file that
the environment variable REDWINGRACK_BOOT names.

"plan" commands change nothing until the plan is confirmed with "confirm".

Options:
  --admin=ADDR         Administration address IP:PORT of any instance
                       (default: REDWINGRACK_ADMIN or 127.0.0.1:8082)
  --token-file=FILE    File with the operator's token
                       (default: the token in REDWINGRACK_TOKEN)
  --instance=ADDR      Caller address IP:PORT of any instance
                       (default: REDWINGRACK_INSTANCE or 127.0.0.1:8080)
  --json               Print results as JSON
  --config=FILE        Settings of the instance
  --rate=N             Requests per second over the whole fleet
  --burst=N            Requests allowed in one burst
  --region=NAME        Region where the workspace's callers are
  --to=REGION          Region that takes the traffic
  --from=REGION        Region where the traffic enters (default: all regions)
  --share=N            Share of the traffic, 0 to 1
  --cap=N              Maximum share at any time (default: --share)
  --steps=N            Number of steps (default: 4)
  --by=TIME            Time such as 2026-12-04T12:00:00Z, or +600s from now
  --at-deadline=WHAT   take_back or stop (default: take_back)
  --version-name=NAME  Version to roll out
  --soak-s=N           Seconds to observe the new version at 100%
  --undo               Cancel the drain: the server takes requests again
  --key=KEY            Key to issue (default: a new random key)
  --for-s=N            Maximum time to watch in seconds (default: 600)
)";

std::string optionText(const Arguments &Args, const std::string &Name,
                       const std::string &Default) {
  const auto Found = Args.find(Name);
  if (Found == Args.end() || !Found->second.isString())
    return Default;
  return Found->second.asString();
}

bool isGiven(const Arguments &Args, const std::string &Name) {
  const auto Found = Args.find(Name);
  return Found != Args.end() && Found->second.isBool() &&
         Found->second.asBool();
}

bool optionNumber(const Arguments &Args, const std::string &Name,
                  double &Value) {
  const std::string Text = optionText(Args, Name);
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  if (Read.ec == std::errc() && Read.ptr == End)
    return true;
  std::cerr << Name << ": expected a number, not \"" << Text << "\"\n";
  return false;
}

} // namespace rr
