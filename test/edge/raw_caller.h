#pragma once

#include "edge/one_vm.h"

#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <poll.h>
#include <string>

namespace plantainhaven::edge {

// A caller's connection that sends raw bytes.
class RawCaller
{
public:
  explicit RawCaller(std::uint16_t aPort)
    : socket(context)
  {
    this->socket.connect({ asio::ip::make_address("127.0.0.1"), aPort });
  }

  void Head(const std::string& aPath,
            const std::string& aFields,
            const std::string& aVersion = "HTTP/1.1",
            const std::string& aDeadline = "1500")
  {
    this->Write("POST " + aPath + " " + aVersion +
                "\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                "X-Plantainhaven-Request-Id: raw-1\r\nX-Plantainhaven-Deadline: " +
                aDeadline + "\r\n" + aFields + "\r\n");
  }
  void Write(const std::string& aBytes)
  {
    beast::error_code ignored;
    asio::write(this->socket, asio::buffer(aBytes), ignored);
  }
  void WriteChunked(const std::string& aBody, std::size_t aChunk)
  {
    for (std::size_t at = 0; at < aBody.size(); at += aChunk) {
      const std::string part = aBody.substr(at, aChunk);
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
      this->Write(size + part + "\r\n");
    }
    this->Write("0\r\n\r\n");
  }
  ReceivedResponse Read()
  {
    ReceivedResponse answer;
    beast::error_code fault;
    http::read(this->socket, this->buffer, answer, fault);
    if (fault) {
      answer.result(0U);
    }
    return answer;
  }
  void Close() { this->socket.close(); }
  // The VM takes more bytes, as far as the operating system knows.
  bool CanWrite()
  {
    pollfd entry{ this->socket.native_handle(), POLLOUT, 0 };
    return ::poll(&entry, 1, 0) > 0;
  }
  // Ends a pending write or read of another thread.
  void Shutdown()
  {
    beast::error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
  }

private:
  asio::io_context context;
  Tcp::socket socket;
  beast::flat_buffer buffer;
};

} // namespace plantainhaven::edge
