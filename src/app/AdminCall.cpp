#include "app/AdminCall.h"

#include "app/HttpCall.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace rr {

namespace {

std::string environmentVariable(const char *Name, const std::string &Default) {
  const char *const Value = std::getenv(Name);
  return Value ? Value : Default;
}

std::string operatorToken(const Arguments &Args) {
  const std::string File = optionText(Args, "--token-file");
  if (File.empty())
    return environmentVariable("REDWINGRACK_TOKEN", "");
  std::ifstream Input(File);
  std::string Token;
  std::getline(Input, Token);
  return Token;
}

void printRefusal(const nlohmann::json &Reply, int Status) {
  std::cerr << "refused (" << Status
            << "): " << (Reply.is_object() ? Reply.value("detail", "") : "")
            << "\n";
  if (!Reply.is_object() || !Reply.contains("problems"))
    return;
  for (const nlohmann::json &Line : Reply["problems"])
    std::cerr << "  " << (Line.is_string() ? Line.get<std::string>() : "")
              << "\n";
}

} // namespace

std::optional<nlohmann::json> callAdmin(const Arguments &Args,
                                        const std::string &Method,
                                        const std::string &Path,
                                        const std::string &Body) {
  const std::string Address =
      optionText(Args, "--admin",
                 environmentVariable("REDWINGRACK_ADMIN", "127.0.0.1:8082"));
  const auto Reply =
      callHttp(Method, "http://" + Address + "/admin/v1" + Path,
               {{"Authorization", "Bearer " + operatorToken(Args)},
                {"Content-Type", "application/json"}},
               Body);
  if (!Reply) {
    std::cerr << "no answer from " << Address << ": " << Reply.error().message()
              << "\n";
    return std::nullopt;
  }
  nlohmann::json Value = nlohmann::json::parse(Reply->Body, nullptr, false);
  if (Reply->Status < 200 || Reply->Status >= 300) {
    printRefusal(Value, Reply->Status);
    return std::nullopt;
  }
  return Value;
}

} // namespace rr
