#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::standin {

// A request that a backend server started to execute.
struct ServerRun
{
  std::string server;
  std::string requestId;
  std::string method;
  std::string path;
  std::string account;
  // The request carried the caller's Authorization header.
  bool hasClientKey = false;
  // The server names a rate limit in its response.
  bool isToldLimit = false;
};

// Injected faults. A fault with the interval N affects every Nth request; 0 disables it.
struct ServerFaults
{
  int shedEvery = 0;              // 503 before execution.
  int failEvery = 0;              // 500 after execution.
  int dropResponseEvery = 0;      // Executes, then closes the connection.
  int malformedResponseEvery = 0; // Executes, then sends malformed bytes.
  std::chrono::milliseconds extraLatency{ 0 };
};

struct ServerOptions
{
  std::string id;
  std::string service = "shop";
  std::string failureDomain = "north-a";
  std::string address = "127.0.0.1";
  int slots = 9;
  std::chrono::milliseconds work{ 20 };
};

// Test double of a backend server that follows the published protocol. It executes requests
// up to its number of slots and sheds the rest, reports its load and signature in the
// response headers, and rejects requests that target another server. The response body is
// "SERVER REQUEST-ID". Runs on the thread of its context.
class ServerStandin
{
public:
  using OnRun = std::function<void(const ServerRun&)>;

  ServerStandin(boost::asio::io_context& aContext, ServerOptions aOptions, OnRun aOnRun);
  // Closes all connections immediately, like a crash.
  ~ServerStandin();
  ServerStandin(const ServerStandin&) = delete;
  ServerStandin& operator=(const ServerStandin&) = delete;

  std::uint16_t Port() const;
  const std::string& Id() const;
  void SetFaults(const ServerFaults& aFaults);
  // Sets the rate limit, in requests per second of all VMs together, that the responses name;
  // std::nullopt for none.
  void SetLimit(std::optional<double> aRate);
  // Returns the report that the server writes to the store. `aPort` is the port where it can
  // be reached.
  std::string Report(std::uint16_t aPort, bool aIsDraining);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace plantainhaven::standin
