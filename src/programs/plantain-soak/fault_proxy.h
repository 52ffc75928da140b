#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::soak {

enum class LinkFault
{
  kNone,
  kDelayed,        // Bytes arrive late.
  kReset,          // Open and new connections are reset.
  kDropToTarget,   // Drops bytes to the target.
  kDropFromTarget, // Drops bytes from the target.
  kDropBoth,       // Drops bytes in both directions.
};

// Loopback TCP proxy in front of one port that injects link faults. A connection that has
// dropped bytes forwards nothing from then on, as after a network partition that lost them.
// Runs on the thread of its context.
class FaultProxy
{
public:
  FaultProxy(boost::asio::io_context& aContext, std::uint16_t aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t Port() const;
  void SetFault(LinkFault aFault, std::chrono::milliseconds aDelay);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace plantainhaven::soak
