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

// The controld side of the link inside one VM (ZeroMQ ROUTER). Used from one thread.
class LocalServer
{
public:
  LocalServer();
  ~LocalServer();
  LocalServer(const LocalServer&) = delete;
  LocalServer& operator=(const LocalServer&) = delete;

  Result<Done> Bind(const std::string& aAddress, std::uint16_t aPort);
  // Answers every ask that waits now; returns how many. Never blocks.
  std::size_t ProcessRequests(const std::function<ViewAnswer(const ViewAsk&)>& aAnswer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The entryd and lookupd side (ZeroMQ DEALER, re-created after a missing answer, so
// that a restarted controld is found again and a late answer isn't mixed up).
class LocalClient
{
public:
  LocalClient(const std::string& aAddress, std::uint16_t aPort);
  ~LocalClient();
  LocalClient(const LocalClient&) = delete;
  LocalClient& operator=(const LocalClient&) = delete;

  // Asks and waits for the answer; nothing when none came in time.
  std::optional<ViewAnswer> RequestView(const ViewAsk& aAsk, std::chrono::milliseconds aTimeout);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace plantainhaven
