#include "peerlink/WebSocketCodec.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <utility>
#include <variant>

namespace rr {

namespace {

constexpr std::size_t MaxHttpBodyBytes = 4096;

// websocketpp configuration without threads and log output.
template <typename Base> struct CodecConfig : Base {
  using type = CodecConfig;
  using base = Base;
  using concurrency_type = websocketpp::concurrency::none;
  using request_type = typename base::request_type;
  using response_type = typename base::response_type;
  using message_type = typename base::message_type;
  using con_msg_manager_type = typename base::con_msg_manager_type;
  using endpoint_msg_manager_type = typename base::endpoint_msg_manager_type;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<std::uint32_t,
                                                        concurrency_type>;

  // websocketpp requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transport_config : base::transport_config {
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using request_type = typename base::request_type;
    using response_type = typename base::response_type;
    static const bool enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;

  static const bool enable_multithreading = false;
  static const std::size_t max_http_body_size = MaxHttpBodyBytes;
};

using Client =
    websocketpp::client<CodecConfig<websocketpp::config::core_client>>;
using Server = websocketpp::server<CodecConfig<websocketpp::config::core>>;

// Close code that websocketpp reports until a close frame is received.
constexpr auto NoCloseFrame = websocketpp::close::status::abnormal_close;

// Connection as a dialer (Client) or an acceptor (Server).
template <typename Endpoint> struct RoleEngine {
  using Status = WebSocketCodec::Status;
  using ConnectionPtr = typename Endpoint::connection_ptr;
  using MessagePtr = typename Endpoint::message_ptr;
  using Content = typename MessagePtr::element_type;
  using Handle = websocketpp::connection_hdl;

  RoleEngine(std::size_t MaxMessageBytes, WebSocketCodec::Handlers Calls)
      : Calls(std::move(Calls)) {
    this->Connection = this->makeConnection(this->Local);
    this->Connection->set_max_message_size(MaxMessageBytes);
    this->Connection->set_write_handler(
        [this](const Handle &, const char *Data, std::size_t Size) {
          this->Calls.OnOutput(Data, Size);
          return websocketpp::lib::error_code();
        });
    this->Connection->set_open_handler(
        [this](const Handle &) { this->Calls.OnOpen(); });
    this->Connection->set_fail_handler(
        [this](const Handle &) { this->Failed = true; });
    this->Connection->set_pong_handler(
        [this](const Handle &, const std::string &Payload) {
          this->Calls.OnPong(Payload);
        });
    this->Connection->set_message_handler(
        [this](const Handle &, const MessagePtr &Received) {
          this->receive(*Received);
        });
  }

  // During the upgrade the connection's read handler owns the connection;
  // eof() releases it.
  ~RoleEngine() {
    this->Connection->set_fail_handler(nullptr);
    this->Connection->set_write_handler(nullptr);
    this->Connection->eof();
  }
  RoleEngine(const RoleEngine &) = delete;
  RoleEngine &operator=(const RoleEngine &) = delete;

  static ConnectionPtr makeConnection(Server &Local) {
    return Local.get_connection();
  }
  static ConnectionPtr makeConnection(Client &Local) {
    websocketpp::lib::error_code Error;
    return Local.get_connection("ws://peer/", Error);
  }

  void receive(Content &Received) {
    // The protocol uses binary frames only.
    if (Received.get_opcode() != websocketpp::frame::opcode::binary)
      this->Failed = true;
    if (!this->Failed)
      this->Calls.OnMessage(std::move(Received.get_raw_payload()));
  }

  void start() { this->Connection->start(); }

  Status feed(const char *Data, std::size_t Size) {
    const ConnectionPtr Kept = this->Connection;
    Kept->read_all(Data, Size);
    return this->status();
  }

  Status status() const {
    if (this->Failed)
      return Status::Malformed;
    if (this->Connection->get_remote_close_code() != NoCloseFrame)
      return Status::PeerClosed;
    const auto State = this->Connection->get_state();
    const bool Going = State == websocketpp::session::state::connecting ||
                       State == websocketpp::session::state::open;
    if (Going || this->ClosedHere)
      return Status::Running;
    // websocketpp has closed the connection because of a protocol error.
    return this->Connection->get_local_close_code() ==
                   websocketpp::close::status::message_too_big
               ? Status::TooLarge
               : Status::Malformed;
  }

  bool sendBinary(std::string_view Payload) {
    return !this->Connection->send(Payload.data(), Payload.size(),
                                   websocketpp::frame::opcode::binary);
  }

  void ping(const std::string &Payload) {
    websocketpp::lib::error_code Ignored;
    this->Connection->ping(Payload, Ignored);
  }

  void close(std::uint16_t Code) {
    this->ClosedHere = true;
    websocketpp::lib::error_code Ignored;
    this->Connection->close(Code, std::string(), Ignored);
  }

  void setMaxMessageBytes(std::size_t Bytes) {
    this->Connection->set_max_message_size(Bytes);
  }

  std::uint16_t peerCloseCode() const {
    return this->Connection->get_remote_close_code();
  }

  WebSocketCodec::Handlers Calls;
  Endpoint Local;
  ConnectionPtr Connection;
  bool Failed = false;
  bool ClosedHere = false;
};

} // namespace

struct WebSocketCodec::Engine {
  std::variant<std::unique_ptr<RoleEngine<Client>>,
               std::unique_ptr<RoleEngine<Server>>>
      Role;
};

namespace {

template <typename Role, typename Action>
decltype(auto) withEngine(Role &Engine, Action Apply) {
  return std::visit([&](auto &Held) { return Apply(*Held); }, Engine);
}

} // namespace

WebSocketCodec::WebSocketCodec(Role Side, std::size_t MaxMessageBytes,
                               Handlers Calls)
    : Core(std::make_unique<Engine>()) {
  if (Side == Role::Dialer)
    this->Core->Role =
        std::make_unique<RoleEngine<Client>>(MaxMessageBytes, std::move(Calls));
  else
    this->Core->Role =
        std::make_unique<RoleEngine<Server>>(MaxMessageBytes, std::move(Calls));
}

WebSocketCodec::~WebSocketCodec() = default;

void WebSocketCodec::start() {
  withEngine(this->Core->Role, [](auto &Engine) { Engine.start(); });
}

WebSocketCodec::Status WebSocketCodec::feed(const char *Data,
                                            std::size_t Size) {
  return withEngine(this->Core->Role,
                    [&](auto &Engine) { return Engine.feed(Data, Size); });
}

bool WebSocketCodec::sendBinary(std::string_view Payload) {
  return withEngine(this->Core->Role,
                    [&](auto &Engine) { return Engine.sendBinary(Payload); });
}

void WebSocketCodec::ping(const std::string &Payload) {
  withEngine(this->Core->Role, [&](auto &Engine) { Engine.ping(Payload); });
}

void WebSocketCodec::close(std::uint16_t Code) {
  withEngine(this->Core->Role, [&](auto &Engine) { Engine.close(Code); });
}

void WebSocketCodec::setMaxMessageBytes(std::size_t Bytes) {
  withEngine(this->Core->Role,
             [&](auto &Engine) { Engine.setMaxMessageBytes(Bytes); });
}

std::uint16_t WebSocketCodec::peerCloseCode() const {
  return withEngine(this->Core->Role,
                    [](auto &Engine) { return Engine.peerCloseCode(); });
}

} // namespace rr
