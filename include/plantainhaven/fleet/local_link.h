#pragma once

#include "plantainhaven/common/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "local.pb.h"

namespace plantainhaven {

// The plantain-controld side of the link inside one VM (ZeroMQ ROUTER). Not thread-safe.
class LocalServer
{
public:
  LocalServer();
  ~LocalServer();
  LocalServer(const LocalServer&) = delete;
  LocalServer& operator=(const LocalServer&) = delete;

  Result<Done> Bind(const std::string& aAddress, std::uint16_t aPort);
  // Answers queued requests, at most 256 per call, and returns the number of answers sent.
  // Never blocks.
  std::size_t ProcessRequests(const std::function<ViewAnswer(const ViewAsk&)>& aAnswer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The plantain-entryd and plantain-lookupd side (ZeroMQ DEALER). The socket is re-created
// after a timeout, so that the client reconnects to a restarted plantain-controld and never
// matches a late answer to a newer request.
class LocalClient
{
public:
  LocalClient(const std::string& aAddress, std::uint16_t aPort);
  ~LocalClient();
  LocalClient(const LocalClient&) = delete;
  LocalClient& operator=(const LocalClient&) = delete;

  // Sends a request and waits for its answer; returns nullopt after `aTimeout`.
  std::optional<ViewAnswer> RequestView(const ViewAsk& aAsk, std::chrono::milliseconds aTimeout);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
