#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::standin {

// One request that a backend server began to run.
struct ServerRun
{
  std::string server;
  std::string requestId;
  std::string method;
  std::string path;
  std::string account;
  // A client's key reached the server.
  bool showsKey = false;
};

// Of so many requests the last meets the trouble; 0 for none.
struct ServerFaults
{
  int shedEvery = 0;       // 503, surely not run.
  int failEvery = 0;       // 500 after the run.
  int loseAnswerEvery = 0; // Runs; the connection ends without an answer.
  int garbleEvery = 0;     // Runs; bytes that are no response.
  std::chrono::milliseconds slowBy{ 0 };
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

// A backend server by the published protocol: runs requests in its slots, sheds beyond
// them, answers with id, signature and load, turns away what names another server. The body
// of its answer is "SERVER REQUEST-ID". Runs on the thread of its context.
class ServerStandin
{
public:
  using OnRun = std::function<void(const ServerRun&)>;

  ServerStandin(boost::asio::io_context& aContext, ServerOptions aOptions, OnRun aOnRun);
  // Ends at once, connections included, like a crash.
  ~ServerStandin();
  ServerStandin(const ServerStandin&) = delete;
  ServerStandin& operator=(const ServerStandin&) = delete;

  std::uint16_t Port() const;
  const std::string& Id() const;
  void SetFaults(const ServerFaults& aFaults);
  // What it writes to the store about itself; `aPort` is where callers reach it.
  std::string Report(std::uint16_t aPort, bool aIsDraining);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace plantainhaven::standin
