#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {

using FakeRequest = boost::beast::http::request<boost::beast::http::string_body>;

// Bytes that the fake server responds with, and whether it closes the connection after them.
struct FakeAnswer
{
  std::string bytes{};
  bool closes = false;
  // Sent again and again after `bytes` until the peer closes the connection.
  std::string endless{};
  // Pause after each repetition of `endless`.
  std::chrono::milliseconds pause{ 0 };
};

using FakeHandler = std::function<FakeAnswer(const FakeRequest&)>;

// An HTTP server for tests. It responds to each request with the bytes that its handler returns and
// records the requests. It runs one thread per connection.
class FakeServer
{
public:
  explicit FakeServer(FakeHandler aHandler)
    : handler(std::move(aHandler))
    , acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , thread([this] { this->Accept(); })
  {
  }

  ~FakeServer()
  {
    this->isStopping = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const auto& socket : this->sockets) {
        ::shutdown(socket->native_handle(), SHUT_RDWR);
      }
    }
    for (std::thread& connection : this->connections) {
      connection.join();
    }
  }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->Port()); }
  std::vector<FakeRequest> Arrived() const
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->arrived;
  }
  // Ends as a process does that crashes: all connections break, and new ones are refused.
  void Crash()
  {
    this->isStopping = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& socket : this->sockets) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
  bool HasCrashed() const { return this->isStopping; }
  void SetHandler(FakeHandler aHandler)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->handler = std::move(aHandler);
  }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept()
  {
    while (!this->isStopping) {
      auto socket = std::make_shared<Socket>(this->context);
      boost::system::error_code fault;
      this->acceptor.accept(*socket, fault);
      if (fault) {
        return;
      }
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->sockets.push_back(socket);
      this->connections.emplace_back([this, socket] { this->Serve(*socket); });
    }
  }

  void Serve(Socket& aSocket)
  {
    boost::beast::flat_buffer buffer;
    boost::system::error_code fault;
    while (!fault) {
      FakeRequest request;
      boost::beast::http::read(aSocket, buffer, request, fault);
      if (fault) {
        break;
      }
      FakeHandler current;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->arrived.push_back(request);
        current = this->handler;
      }
      const FakeAnswer answer = current(request);
      boost::asio::write(aSocket, boost::asio::buffer(answer.bytes), fault);
      while (!answer.endless.empty() && !fault && !this->isStopping) {
        boost::asio::write(aSocket, boost::asio::buffer(answer.endless), fault);
        std::this_thread::sleep_for(answer.pause);
      }
      if (answer.closes) {
        break;
      }
    }
    aSocket.shutdown(Socket::shutdown_both, fault);
  }

  // Declared first, because it must outlive its sockets.
  boost::asio::io_context context;
  mutable std::mutex mutex;
  FakeHandler handler;
  std::vector<FakeRequest> arrived;
  std::list<std::shared_ptr<Socket>> sockets;
  std::list<std::thread> connections;
  std::atomic<bool> isStopping{ false };
  boost::asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

} // namespace plantainhaven::edge
