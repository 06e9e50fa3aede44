#include "httpserver/HttpListener.h"

#include "httpserver/ReasonPhrase.h"

#include <asio/co_spawn.hpp>
#include <restinio/all.hpp>

#include <exception>
#include <unordered_map>
#include <utility>

namespace rr {

namespace {

/// The running requests, with their cancellations by connection.
struct ActiveRequests {
  std::unordered_multimap<restinio::connection_id_t, CancellationPtr>
      ByConnection;
  std::size_t Running = 0;
  bool CloseAfterResponse = false;
};

/// Cancels the requests of a connection when it closes.
class CloseObserver {
public:
  explicit CloseObserver(std::shared_ptr<ActiveRequests> Requests)
      : Requests(std::move(Requests)) {}

  void
  state_changed(const restinio::connection_state::notice_t &Notice) noexcept {
    const auto Cause = Notice.cause();
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
            Cause))
      return;
    const auto Range =
        this->Requests->ByConnection.equal_range(Notice.connection_id());
    std::vector<CancellationPtr> Cancellations;
    for (auto Item = Range.first; Item != Range.second; ++Item)
      Cancellations.push_back(Item->second);
    this->Requests->ByConnection.erase(Notice.connection_id());
    for (const CancellationPtr &Cancel : Cancellations)
      Cancel->cancel();
  }

private:
  std::shared_ptr<ActiveRequests> Requests;
};

struct ListenerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = CloseObserver;
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ListenerTraits>;
using ServerSettings = restinio::server_settings_t<ListenerTraits>;

// More than one, so that RESTinio keeps reading from a connection while a
// request runs, and notices when the client closes it.
constexpr std::size_t MaxPipelinedRequests = 4;
constexpr std::size_t MaxFieldNameBytes = 256;
constexpr std::size_t MaxFieldValueBytes = 8U << 10;

HttpServerRequest convertRequest(const restinio::request_t &Request) {
  HttpServerRequest Result;
  const auto &Header = Request.header();
  Result.Method = Header.method().c_str();
  Result.Path = std::string(Header.path());
  Result.Query = std::string(Header.query());
  Header.for_each_field([&](const auto &Field) {
    Result.Headers.push_back({Field.name(), Field.value()});
  });
  Result.Body = Request.body();
  Result.RemoteAddress = Request.remote_endpoint().address().to_string();
  Result.Cancel = std::make_shared<Cancellation>();
  return Result;
}

void sendResponse(const restinio::request_handle_t &Request,
                  HttpResponse Response, bool Close) {
  const restinio::http_status_code_t Code(
      static_cast<std::uint16_t>(Response.Status));
  auto Builder = Request->create_response(
      restinio::http_status_line_t(Code, reasonPhrase(Response.Status)));
  for (HttpHeader &Field : Response.Headers)
    Builder.append_header(std::move(Field.Name), std::move(Field.Value));
  if (Close || Response.Close)
    Builder.connection_close();
  if (Request->header().method() != restinio::http_method_head())
    Builder.set_body(std::move(Response.Body));
  Builder.done();
}

} // namespace

class HttpListener::Implementation {
public:
  Implementation(asio::io_context &Context, const ListenerSettings &Settings,
                 Handler Handle);

  void close() { this->Listener.close_sync(); }
  std::uint16_t port() const { return this->BoundPort; }

  std::shared_ptr<ActiveRequests> Requests = std::make_shared<ActiveRequests>();

private:
  ServerSettings makeSettings(const ListenerSettings &Settings);
  restinio::request_handling_status_t
  startRequest(const restinio::request_handle_t &Request);

  asio::io_context &Context;
  Handler Handle;
  std::uint16_t BoundPort = 0;
  Server Listener;
};

HttpListener::Implementation::Implementation(asio::io_context &Context,
                                             const ListenerSettings &Settings,
                                             Handler Handle)
    : Context(Context), Handle(std::move(Handle)),
      Listener(restinio::external_io_context(Context),
               this->makeSettings(Settings)) {
  this->Listener.open_sync();
}

ServerSettings
HttpListener::Implementation::makeSettings(const ListenerSettings &Settings) {
  ServerSettings Result;
  Result.address(Settings.Address)
      .port(Settings.Port)
      .max_pipelined_requests(MaxPipelinedRequests)
      .max_parallel_connections(Settings.MaxConnections)
      .read_next_http_message_timelimit(Settings.ReadTimeout)
      .handle_request_timeout(Settings.HandleTimeout)
      .write_http_response_timelimit(Settings.WriteTimeout)
      .connection_state_listener(
          std::make_shared<CloseObserver>(this->Requests))
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(Settings.MaxUrlBytes)
                                    .max_field_name_size(MaxFieldNameBytes)
                                    .max_field_value_size(MaxFieldValueBytes)
                                    .max_field_count(Settings.MaxHeaderCount)
                                    .max_body_size(Settings.MaxBodyBytes))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
        this->BoundPort = Acceptor.local_endpoint().port();
      })
      .request_handler([this](restinio::request_handle_t Request) {
        return this->startRequest(Request);
      });
  return Result;
}

restinio::request_handling_status_t HttpListener::Implementation::startRequest(
    const restinio::request_handle_t &Request) {
  HttpServerRequest Converted = convertRequest(*Request);
  const CancellationPtr Cancel = Converted.Cancel;
  const auto Connection = Request->connection_id();
  this->Requests->ByConnection.emplace(Connection, Cancel);
  ++this->Requests->Running;
  auto OnEnd = [Request, Connection, Cancel, Requests = this->Requests](
                   const std::exception_ptr &Error, HttpResponse Response) {
    const auto Range = Requests->ByConnection.equal_range(Connection);
    for (auto Item = Range.first; Item != Range.second; ++Item)
      if (Item->second == Cancel) {
        Requests->ByConnection.erase(Item);
        break;
      }
    --Requests->Running;
    // Handlers must not throw. The rethrown exception leaves the event loop and
    // ends the process.
    if (Error)
      std::rethrow_exception(Error);
    if (!Cancel->isCancelled())
      sendResponse(Request, std::move(Response), Requests->CloseAfterResponse);
  };
  asio::co_spawn(this->Context, this->Handle(std::move(Converted)),
                 std::move(OnEnd));
  return restinio::request_accepted();
}

HttpListener::HttpListener(asio::io_context &Context,
                           const ListenerSettings &Settings, Handler Handle)
    : Impl(std::make_unique<Implementation>(Context, Settings,
                                            std::move(Handle))) {}

HttpListener::~HttpListener() = default;

void HttpListener::close() { this->Impl->close(); }

void HttpListener::closeAfterResponse() {
  this->Impl->Requests->CloseAfterResponse = true;
}

std::size_t HttpListener::runningRequests() const {
  return this->Impl->Requests->Running;
}

std::uint16_t HttpListener::port() const { return this->Impl->port(); }

} // namespace rr
