#include "platform/HttpPlatform.h"

#include "httpclient/HttpClient.h"
#include "platform/PlatformJson.h"

#include <memory>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

/// Address of the platform and the client that reaches it.
struct Endpoint {
  HttpClient *Client = nullptr;
  std::string BaseUrl;
  std::chrono::milliseconds Timeout{};
};

using EndpointPtr = std::shared_ptr<const Endpoint>;

bool isUnreserved(unsigned char Character) {
  return std::isalnum(Character) || Character == '-' || Character == '.' ||
         Character == '_' || Character == '~';
}

std::string percentEncode(const std::string &Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Result;
  for (const unsigned char Character : Text) {
    if (isUnreserved(Character)) {
      Result.push_back(static_cast<char>(Character));
      continue;
    }
    Result.push_back('%');
    Result.push_back(Digits[Character >> 4]);
    Result.push_back(Digits[Character & 15]);
  }
  return Result;
}

HttpRequest makeRequest(const Endpoint &Target, const char *Method,
                        const std::string &Path, std::string Body) {
  HttpRequest Result;
  Result.Method = Method;
  Result.Url = Target.BaseUrl + Path;
  Result.Body = std::move(Body);
  Result.ConnectTimeout = Target.Timeout;
  Result.Timeout = Target.Timeout;
  return Result;
}

std::error_code toError(const HttpResult &Result) {
  if (!Result.MayHaveBeenSent)
    return Errc::Unavailable;
  if (Result.Error)
    return Errc::Unknown;
  switch (Result.Status) {
  case 200:
    return {};
  case 404:
    return Errc::NotFound;
  case 409:
    return Errc::Conflict;
  case 400:
    return Errc::Malformed;
  default:
    return Errc::Unknown;
  }
}

asio::awaitable<Outcome<std::string>> sendRequest(EndpointPtr Target,
                                                  HttpRequest Request) {
  const HttpResult Result = co_await Target->Client->send(std::move(Request));
  const std::error_code Error = toError(Result);
  if (Error)
    co_return tl::unexpected<std::error_code>(Error);
  co_return Result.Body;
}

// Reads have no effect, so a lost answer counts as an unavailable platform.
std::error_code readError(const std::error_code &Error) {
  return Error == Errc::Unknown ? make_error_code(Errc::Unavailable) : Error;
}

asio::awaitable<Outcome<json>> readJson(EndpointPtr Target, std::string Path) {
  HttpRequest Request = makeRequest(*Target, "GET", Path, "");
  const auto Text = co_await sendRequest(Target, std::move(Request));
  if (!Text)
    co_return tl::unexpected<std::error_code>(readError(Text.error()));
  co_return parseJson(*Text);
}

asio::awaitable<Outcome<void>> sendWrite(EndpointPtr Target,
                                         HttpRequest Request) {
  const auto Text = co_await sendRequest(Target, std::move(Request));
  if (!Text)
    co_return tl::unexpected<std::error_code>(Text.error());
  co_return Outcome<void>();
}

asio::awaitable<Outcome<std::optional<Row>>> readRowOnce(EndpointPtr Target,
                                                         std::string Key) {
  const auto Document =
      co_await readJson(Target, "/v1/rows?key=" + percentEncode(Key));
  if (!Document && Document.error() == Errc::NotFound)
    co_return std::optional<Row>();
  if (!Document)
    co_return tl::unexpected<std::error_code>(Document.error());
  const auto Found = rowFromJson(*Document);
  if (!Found)
    co_return failure(Errc::Malformed);
  co_return std::optional<Row>(*Found);
}

template <typename T>
Outcome<std::vector<T>> listFromJson(const json &Document, const char *Key,
                                     Outcome<T> (*ReadItem)(const json &)) {
  if (!Document.is_object() || !Document.contains(Key) ||
      !Document[Key].is_array())
    return failure(Errc::Malformed);
  std::vector<T> Result;
  for (const json &Item : Document[Key]) {
    auto Value = ReadItem(Item);
    if (!Value)
      return failure(Errc::Malformed);
    Result.push_back(std::move(*Value));
  }
  return Result;
}

asio::awaitable<Outcome<std::vector<Row>>> listRowsOnce(EndpointPtr Target,
                                                        std::string Prefix,
                                                        std::string After,
                                                        std::size_t Limit) {
  const std::string Path = "/v1/rows?prefix=" + percentEncode(Prefix) +
                           "&after=" + percentEncode(After) +
                           "&limit=" + std::to_string(Limit);
  const auto Document = co_await readJson(Target, Path);
  if (!Document)
    co_return tl::unexpected<std::error_code>(Document.error());
  co_return listFromJson<Row>(*Document, "rows", rowFromJson);
}

asio::awaitable<Outcome<std::vector<InstanceRecord>>>
listInstancesOnce(EndpointPtr Target) {
  const auto Document = co_await readJson(Target, "/v1/instances");
  if (!Document)
    co_return tl::unexpected<std::error_code>(Document.error());
  co_return listFromJson<InstanceRecord>(*Document, "instances",
                                         instanceFromJson);
}

asio::awaitable<Outcome<std::string>> getObjectOnce(EndpointPtr Target,
                                                    std::string Name) {
  HttpRequest Request = makeRequest(
      *Target, "GET", "/v1/objects?name=" + percentEncode(Name), "");
  Request.MaxResponseBytes = 64U << 20;
  const auto Text = co_await sendRequest(Target, std::move(Request));
  if (!Text)
    co_return tl::unexpected<std::error_code>(readError(Text.error()));
  co_return *Text;
}

} // namespace

Platform makeHttpPlatform(HttpClient &Client, std::string BaseUrl,
                          std::chrono::milliseconds Timeout) {
  auto Target = std::make_shared<const Endpoint>(
      Endpoint{&Client, std::move(BaseUrl), Timeout});
  Platform Result;
  Result.ReadRow = [Target](std::string Key) {
    return readRowOnce(Target, std::move(Key));
  };
  Result.ListRows = [Target](std::string Prefix, std::string After,
                             std::size_t Limit) {
    return listRowsOnce(Target, std::move(Prefix), std::move(After), Limit);
  };
  Result.Commit = [Target](Transaction Writes) {
    return sendWrite(Target, makeRequest(*Target, "POST", "/v1/commit",
                                         formatJson(toJson(Writes))));
  };
  Result.GetObject = [Target](std::string Name) {
    return getObjectOnce(Target, std::move(Name));
  };
  Result.PutObject = [Target](std::string Name, std::string Data) {
    return sendWrite(Target,
                     makeRequest(*Target, "PUT",
                                 "/v1/objects?name=" + percentEncode(Name),
                                 std::move(Data)));
  };
  Result.ListInstances = [Target]() { return listInstancesOnce(Target); };
  Result.AnnounceInstance = [Target](InstanceRecord Self) {
    return sendWrite(Target, makeRequest(*Target, "PUT", "/v1/instances",
                                         formatJson(toJson(Self))));
  };
  return Result;
}

} // namespace rr
