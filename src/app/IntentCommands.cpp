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

std::string utcText(std::time_t Time) {
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

// "+600s" counts from now; anything else is passed on as it is.
std::string deadlineOf(const Arguments &Given) {
  const std::string Text = optionText(Given, "--by");
  if (Text.size() < 3 || Text.front() != '+' || Text.back() != 's')
    return Text;
  const long Seconds = std::atol(Text.c_str() + 1);
  return utcText(std::time(nullptr) + Seconds);
}

MaybeJson withRates(const Arguments &Given, json Intent) {
  double Rate = 0;
  double Burst = 0;
  if (!optionNumber(Given, "--rate", Rate) ||
      !optionNumber(Given, "--burst", Burst))
    return std::nullopt;
  Intent["workspace"] = optionText(Given, "WORKSPACE");
  Intent["rate_per_second"] = Rate;
  Intent["burst"] = Burst;
  return Intent;
}

MaybeJson takeOn(const Arguments &Given) {
  json Intent = {{"kind", "take_on_workspace"},
                 {"entry_regions", Given.at("--region").asStringList()}};
  return withRates(Given, std::move(Intent));
}

MaybeJson shift(const Arguments &Given) {
  double Share = 0;
  if (!optionNumber(Given, "--share", Share))
    return std::nullopt;
  double Cap = Share;
  if (Given.at("--cap") && !optionNumber(Given, "--cap", Cap))
    return std::nullopt;
  double Steps = 4;
  if (Given.at("--steps") && !optionNumber(Given, "--steps", Steps))
    return std::nullopt;
  return json{{"kind", "move_traffic"},
              {"workspace", optionText(Given, "WORKSPACE")},
              {"from_region", optionText(Given, "--from")},
              {"to_region", optionText(Given, "--to")},
              {"share", Share},
              {"cap", Cap},
              {"steps", static_cast<std::uint64_t>(std::max(1.0, Steps))},
              {"deadline", deadlineOf(Given)},
              {"at_deadline", optionText(Given, "--at-deadline", "take_back")}};
}

MaybeJson rollout(const Arguments &Given) {
  json Intent = {
      {"kind", "roll_out_version"},
      {"service", optionText(Given, "SERVICE")},
      {"version", optionText(Given, "--version-name")},
      {"deadline", deadlineOf(Given)},
      {"at_deadline", optionText(Given, "--at-deadline", "take_back")}};
  double Soak = 0;
  if (Given.at("--soak-s")) {
    if (!optionNumber(Given, "--soak-s", Soak))
      return std::nullopt;
    Intent["soak_s"] = static_cast<std::uint64_t>(std::max(1.0, Soak));
  }
  return Intent;
}

MaybeJson issueKey(const Arguments &Given) {
  std::string Key = optionText(Given, "--key");
  if (Key.empty()) {
    Key = randomToken();
    // The key itself is sent nowhere: only this line shows it.
    std::cerr << "key (shown once): " << Key << "\n";
  }
  return json{{"kind", "issue_key"},
              {"workspace", optionText(Given, "WORKSPACE")},
              {"key_hash", sha256Hex(Key)}};
}

MaybeJson loadConfig(const Arguments &Given) {
  const std::string File = optionText(Given, "FILE");
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

std::optional<json> intentOf(const Arguments &Given) {
  if (isGiven(Given, "load-config"))
    return loadConfig(Given);
  if (isGiven(Given, "take-on"))
    return takeOn(Given);
  if (isGiven(Given, "set-rate"))
    return withRates(Given, json{{"kind", "set_rate"}});
  if (isGiven(Given, "shift"))
    return shift(Given);
  if (isGiven(Given, "drain"))
    return json{{"kind", "drain_server"},
                {"server", optionText(Given, "SERVER")},
                {"undo", isGiven(Given, "--undo")}};
  if (isGiven(Given, "rollout"))
    return rollout(Given);
  if (isGiven(Given, "issue-key"))
    return issueKey(Given);
  if (isGiven(Given, "withdraw-key"))
    return json{{"kind", "withdraw_key"},
                {"key_hash", sha256Hex(optionText(Given, "KEY"))}};
  return json{{"kind", "declare_lost"},
              {"instance", optionText(Given, "INSTANCE")}};
}

} // namespace rr
