#include "edge/simple_server.h"

#include "edge/own_response.h"

#include <boost/beast/core.hpp>
#include <cctype>
#include <memory>
#include <utility>

namespace plantainhaven::edge {
namespace {

namespace http = beast::http;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::uint64_t kMaxBodyBytes = 4096;
// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

Task<void>
ServeConnection(Tcp::socket aSocket, std::shared_ptr<SimpleHandler> aHandler)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer{ kMaxBufferBytes };
  bool isOpen = true;
  while (isOpen) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    beast::error_code fault;
    stream.expires_after(kIdleTimeout);
    co_await http::async_read(stream, buffer, parser, Into(fault));
    if (fault) {
      break;
    }
    const SimpleRequest request = parser.release();
    SimpleResponse content = (*aHandler)(request);
    http::response<http::string_body> response;
    response.result(content.status);
    response.version(request.version());
    response.set(http::field::content_type, content.contentType);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(content.body);
    isOpen = response.keep_alive();
    const auto method = request.method_string();
    fault =
      co_await WriteOwnResponse(stream, std::move(response), { method.data(), method.size() });
    isOpen = isOpen && !fault;
  }
  beast::error_code ignored;
  stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

Task<void>
AcceptConnections(asio::io_context& aContext,
                  Tcp::acceptor aAcceptor,
                  std::shared_ptr<SimpleHandler> aHandler)
{
  asio::steady_timer pause(aContext);
  while (aAcceptor.is_open()) {
    beast::error_code fault;
    Tcp::socket socket(aContext);
    co_await aAcceptor.async_accept(socket, Into(fault));
    if (fault) {
      co_await Sleep(pause, kAcceptPause);
      continue;
    }
    asio::co_spawn(aContext, ServeConnection(std::move(socket), aHandler), asio::detached);
  }
}

int
HexDigit(char aDigit)
{
  return std::isdigit(static_cast<unsigned char>(aDigit)) != 0 ? aDigit - '0'
                                                               : (aDigit | 0x20) - 'a' + 10;
}

std::string
PercentDecoded(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size() + 0 &&
                          std::isxdigit(static_cast<unsigned char>(aText[i + 1])) != 0 &&
                          std::isxdigit(static_cast<unsigned char>(aText[i + 2])) != 0;
    if (isEscape) {
      decoded += static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

} // namespace

void
ServeSimple(asio::io_context& aContext, const Tcp::endpoint& aEndpoint, SimpleHandler aHandler)
{
  auto handler = std::make_shared<SimpleHandler>(std::move(aHandler));
  asio::co_spawn(aContext,
                 AcceptConnections(aContext, Listen(aContext, aEndpoint), std::move(handler)),
                 asio::detached);
}

std::string
QueryValue(std::string_view aTarget, std::string_view aName)
{
  std::size_t at = aTarget.find('?');
  while (at != std::string_view::npos) {
    const std::size_t next = aTarget.find('&', at + 1);
    const std::string_view pair = aTarget.substr(
      at + 1, next == std::string_view::npos ? std::string_view::npos : next - at - 1);
    if (pair.size() > aName.size() && pair.substr(0, aName.size()) == aName &&
        pair[aName.size()] == '=') {
      return PercentDecoded(pair.substr(aName.size() + 1));
    }
    at = next;
  }
  return {};
}

} // namespace plantainhaven::edge
