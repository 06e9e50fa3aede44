#include "app/QueryCommands.h"

#include "app/AdminCall.h"
#include "app/ExitCode.h"
#include "app/HttpCall.h"
#include "base/Digest.h"
#include "gateway/GatewaySettingsFile.h"
#include "model/FleetConfigJson.h"
#include "model/FleetConfigToml.h"
#include "settings/SettingsFile.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace rr {

namespace {

using nlohmann::json;

bool endsWith(const std::string &Text, const std::string &End) {
  return Text.size() >= End.size() &&
         Text.compare(Text.size() - End.size(), End.size(), End) == 0;
}

std::vector<std::string> findProblems(const std::string &File) {
  if (endsWith(File, ".steer.toml")) {
    Diagnostics Found;
    if (loadGatewaySettings(File, Found))
      Found.Lines.clear();
    return Found.Lines;
  }
  const bool IsToml = endsWith(File, ".fleet.toml");
  if (!IsToml && !endsWith(File, ".json")) {
    Diagnostics Found;
    loadSettings(File, Found);
    return Found.Lines;
  }
  std::ifstream Input(File, std::ios::binary);
  if (!Input)
    return {File + ": cannot be read"};
  std::ostringstream Text;
  Text << Input.rdbuf();
  std::vector<std::string> Problems;
  if (IsToml)
    parseFleetToml(Text.str(), File, Problems);
  else
    parseFleetConfig(Text.str(), Problems);
  return Problems;
}

void printFlat(const json &Value, const std::string &Prefix) {
  if (Value.is_object() || Value.is_array()) {
    for (const auto &Item : Value.items())
      printFlat(Item.value(),
                Prefix.empty() ? Item.key() : Prefix + "." + Item.key());
    return;
  }
  std::cout << Prefix << ": "
            << (Value.is_string() ? Value.get<std::string>() : Value.dump())
            << "\n";
}

} // namespace

int runCheckConfig(const Arguments &Args) {
  const std::string File = optionText(Args, "FILE");
  const auto Problems = findProblems(File);
  if (isGiven(Args, "--json"))
    std::cout << json{{"file", File}, {"problems", Problems}}.dump(2) << "\n";
  for (const std::string &Problem : Problems)
    std::cerr << Problem << "\n";
  if (Problems.empty() && !isGiven(Args, "--json"))
    std::cout << File << ": no problems found\n";
  return Problems.empty() ? ExitSuccess : ExitFailure;
}

int runLookup(const Arguments &Args) {
  const char *const FromEnvironment = std::getenv("REDWINGRACK_INSTANCE");
  const std::string Address = optionText(
      Args, "--instance", FromEnvironment ? FromEnvironment : "127.0.0.1:8080");
  std::string Client = optionText(Args, "ADDRESS");
  Client = Client.substr(0, Client.find('/'));
  const auto Reply = callHttp(
      "GET", "http://" + Address + "/.redwingrack/lookup?address=" + Client, {},
      "");
  if (!Reply) {
    std::cerr << "no answer from " << Address << ": " << Reply.error().message()
              << "\n";
    return ExitFailure;
  }
  const json Value = json::parse(Reply->Body, nullptr, false);
  if (Reply->Status != 200 || !Value.is_object()) {
    std::cerr << "refused (" << Reply->Status << "): " << Reply->Body << "\n";
    return ExitFailure;
  }
  if (isGiven(Args, "--json")) {
    std::cout << Value.dump(2) << "\n";
    return ExitSuccess;
  }
  for (const json &Instance : Value.value("instances", json::array()))
    std::cout << Instance.value("address", "") << "  "
              << Instance.value("name", "") << "  "
              << Instance.value("zone", "") << "\n";
  std::cout << "valid for " << Value.value("max_age_s", 0) << " s\n";
  return ExitSuccess;
}

int runRead(const Arguments &Args, const std::string &Path) {
  const auto Value = callAdmin(Args, "GET", Path);
  if (!Value)
    return ExitFailure;
  if (isGiven(Args, "--json"))
    std::cout << Value->dump(2) << "\n";
  else
    printFlat(*Value, "");
  return ExitSuccess;
}

int runKeyReport(const Arguments &Args) {
  return runRead(Args, "/keys/" + sha256Hex(optionText(Args, "KEY")));
}

} // namespace rr
