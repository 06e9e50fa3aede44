#include "model/FleetConfigToml.h"

#include "model/FleetConfigJson.h"

#include <toml++/toml.h>

#include <sstream>

namespace rr {

namespace {

// Adds file and line to an error message, which starts with the path of the
// member. A missing member has no line; that of its closest parent is used.
std::string addLocation(const toml::table &Document, const std::string &File,
                        const std::string &Problem) {
  std::string Path = Problem.substr(0, Problem.find(':'));
  while (!Path.empty()) {
    const auto Node = toml::at_path(Document, Path);
    if (Node.node())
      return File + ":" + std::to_string(Node.node()->source().begin.line) +
             ": " + Problem;
    const auto Dot = Path.rfind('.');
    Path = Dot == std::string::npos ? std::string() : Path.substr(0, Dot);
  }
  return File + ": " + Problem;
}

} // namespace

Outcome<FleetConfig> parseFleetToml(const std::string &Text,
                                    const std::string &File,
                                    std::vector<std::string> &Problems) {
  toml::table Document;
  try {
    Document = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    Problems.push_back(File + ":" + std::to_string(Error.source().begin.line) +
                       ": " + std::string(Error.description()));
    return failure(Errc::Malformed);
  }
  std::ostringstream Json;
  Json << toml::json_formatter(Document);
  std::vector<std::string> Errors;
  auto Result = parseFleetConfig(Json.str(), Errors);
  for (const std::string &Problem : Errors)
    Problems.push_back(addLocation(Document, File, Problem));
  return Result;
}

} // namespace rr
