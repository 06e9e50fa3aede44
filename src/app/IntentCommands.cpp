#include "app/IntentCommands.h"

#include "base/Digest.h"
#include "base/Random.h"
#include "model/FleetConfigJson.h"
#include "model/FleetConfigToml.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace rr {

namespace {

using nlohmann::json;
using MaybeJson = std::optional<json>;

std::string formatUtc(std::time_t Time) {
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

// "+600s" is relative to now. Any other text is passed on unchanged, for the
// administration API to validate.
std::string parseDeadline(const Arguments &Args) {
  const std::string Text = optionText(Args, "--by");
  if (Text.size() < 3 || Text.front() != '+' || Text.back() != 's')
    return Text;
  const long Seconds = std::atol(Text.c_str() + 1);
  return formatUtc(std::time(nullptr) + Seconds);
}

MaybeJson addRates(const Arguments &Args, json Intent) {
  double Rate = 0;
  double Burst = 0;
  if (!optionNumber(Args, "--rate", Rate) ||
      !optionNumber(Args, "--burst", Burst))
    return std::nullopt;
  Intent["workspace"] = optionText(Args, "WORKSPACE");
  Intent["rate_per_second"] = Rate;
  Intent["burst"] = Burst;
  return Intent;
}

MaybeJson takeOn(const Arguments &Args) {
  json Intent = {{"kind", "take_on_workspace"},
                 {"entry_regions", Args.at("--region").asStringList()}};
  return addRates(Args, std::move(Intent));
}

MaybeJson shift(const Arguments &Args) {
  double Share = 0;
  if (!optionNumber(Args, "--share", Share))
    return std::nullopt;
  double Cap = Share;
  if (Args.at("--cap") && !optionNumber(Args, "--cap", Cap))
    return std::nullopt;
  double Steps = 4;
  if (Args.at("--steps") && !optionNumber(Args, "--steps", Steps))
    return std::nullopt;
  return json{{"kind", "move_traffic"},
              {"workspace", optionText(Args, "WORKSPACE")},
              {"from_region", optionText(Args, "--from")},
              {"to_region", optionText(Args, "--to")},
              {"share", Share},
              {"cap", Cap},
              {"steps", static_cast<std::uint64_t>(std::max(1.0, Steps))},
              {"deadline", parseDeadline(Args)},
              {"at_deadline", optionText(Args, "--at-deadline", "take_back")}};
}

MaybeJson rollout(const Arguments &Args) {
  json Intent = {
      {"kind", "roll_out_version"},
      {"service", optionText(Args, "SERVICE")},
      {"version", optionText(Args, "--version-name")},
      {"deadline", parseDeadline(Args)},
      {"at_deadline", optionText(Args, "--at-deadline", "take_back")}};
  double Soak = 0;
  if (Args.at("--soak-s")) {
    if (!optionNumber(Args, "--soak-s", Soak))
      return std::nullopt;
    Intent["soak_s"] = static_cast<std::uint64_t>(std::max(1.0, Soak));
  }
  return Intent;
}

MaybeJson issueKey(const Arguments &Args) {
  std::string Key = optionText(Args, "--key");
  if (Key.empty()) {
    Key = randomToken();
    // Only the hash of the key is sent, so this is the only place that shows
    // it.
    std::cerr << "key (shown once): " << Key << "\n";
  }
  return json{{"kind", "issue_key"},
              {"workspace", optionText(Args, "WORKSPACE")},
              {"key_hash", sha256Hex(Key)}};
}

MaybeJson loadConfig(const Arguments &Args) {
  const std::string File = optionText(Args, "FILE");
  std::ifstream Input(File, std::ios::binary);
  std::ostringstream Text;
  Text << Input.rdbuf();
  std::vector<std::string> Problems;
  const bool IsJson =
      File.size() > 5 && File.substr(File.size() - 5) == ".json";
  const auto Config = IsJson ? parseFleetConfig(Text.str(), Problems)
                             : parseFleetToml(Text.str(), File, Problems);
  for (const std::string &Problem : Problems)
    std::cerr << Problem << "\n";
  if (!Config)
    return std::nullopt;
  return json{{"kind", "load_document"},
              {"document", formatFleetConfig(*Config)}};
}

} // namespace

std::optional<json> parseIntent(const Arguments &Args) {
  if (isGiven(Args, "load-config"))
    return loadConfig(Args);
  if (isGiven(Args, "take-on"))
    return takeOn(Args);
  if (isGiven(Args, "set-rate"))
    return addRates(Args, json{{"kind", "set_rate"}});
  if (isGiven(Args, "shift"))
    return shift(Args);
  if (isGiven(Args, "drain"))
    return json{{"kind", "drain_server"},
                {"server", optionText(Args, "SERVER")},
                {"undo", isGiven(Args, "--undo")}};
  if (isGiven(Args, "rollout"))
    return rollout(Args);
  if (isGiven(Args, "issue-key"))
    return issueKey(Args);
  if (isGiven(Args, "withdraw-key"))
    return json{{"kind", "withdraw_key"},
                {"key_hash", sha256Hex(optionText(Args, "KEY"))}};
  return json{{"kind", "declare_lost"},
              {"instance", optionText(Args, "INSTANCE")}};
}

} // namespace rr
