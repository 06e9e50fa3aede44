#include "logging/EventLog.h"

#include "logging/DescriptorAppender.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rr {

namespace {

enum class Severity { Debug, Info, Warning, Error };

struct EventInfo {
  Event Number;
  const char *Name;
  Severity Level;
  const char *Text;
};

constexpr std::array Catalogue = {
#define EVENT(NUMBER, NAME, SEVERITY, TEXT)                                    \
  EventInfo{Event::NAME, #NAME, Severity::SEVERITY, TEXT},
#include "logging/Events.def"
#undef EVENT
};

// Events are discarded until startEventLog() is called, as in most tests.
bool Started = false;
bool WriteJson = false;

const EventInfo &eventInfo(Event Number) {
  return *std::find_if(
      Catalogue.begin(), Catalogue.end(),
      [&](const EventInfo &Info) { return Info.Number == Number; });
}

const char *severityName(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "info";
}

log4cplus::LogLevel log4cplusLevel(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case Severity::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case Severity::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case Severity::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

Severity severityFromName(const std::string &Name) {
  for (const Severity Level :
       {Severity::Debug, Severity::Warning, Severity::Error})
    if (Name == severityName(Level))
      return Level;
  return Severity::Info;
}

std::string quoted(const std::string &Text) {
  const bool Plain =
      !Text.empty() &&
      std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
        return Character > ' ' && Character != '"' && Character < 127;
      });
  if (Plain)
    return Text;
  return nlohmann::json(Text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

std::string formatText(const EventInfo &Info,
                       const std::vector<EventField> &Fields) {
  std::string Result = "event=" + std::to_string(static_cast<int>(Info.Number));
  Result += std::string(" name=") + Info.Name;
  for (const EventField &Field : Fields)
    Result += " " + Field.Name + "=" + quoted(Field.Value);
  return Result;
}

std::string formatAsJson(const EventInfo &Info,
                         const std::vector<EventField> &Fields) {
  nlohmann::json Line = {{"event", static_cast<int>(Info.Number)},
                         {"name", Info.Name},
                         {"severity", severityName(Info.Level)}};
  for (const EventField &Field : Fields)
    Line[Field.Name] = Field.Value;
  return Line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startEventLog(const EventLogSettings &Settings) {
  static log4cplus::Initializer Library;
  WriteJson = Settings.Json;
  Started = true;
  log4cplus::SharedAppenderPtr Console(
      new DescriptorAppender(Settings.Descriptor));
  const char *const Pattern =
      Settings.Json ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";
  Console->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Console);
  Root.setLogLevel(log4cplusLevel(severityFromName(Settings.Level)));
}

bool isDebugLoggingEnabled() {
  return Started &&
         log4cplus::Logger::getRoot().isEnabledFor(log4cplus::DEBUG_LOG_LEVEL);
}

void logEvent(Event Number, const std::vector<EventField> &Fields) {
  if (!Started)
    return;
  const EventInfo &Info = eventInfo(Number);
  auto Root = log4cplus::Logger::getRoot();
  const auto Level = log4cplusLevel(Info.Level);
  if (!Root.isEnabledFor(Level))
    return;
  Root.forcedLog(Level, WriteJson ? formatAsJson(Info, Fields)
                                  : formatText(Info, Fields));
}

std::string eventCatalogue() {
  std::string Result = "| number | name | severity | meaning |\n"
                       "| --- | --- | --- | --- |\n";
  for (const EventInfo &Info : Catalogue)
    Result += "| " + std::to_string(static_cast<int>(Info.Number)) + " | " +
              Info.Name + " | " + severityName(Info.Level) + " | " + Info.Text +
              " |\n";
  return Result;
}

} // namespace rr
