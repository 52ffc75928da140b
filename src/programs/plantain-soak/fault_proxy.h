#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::soak {

enum class LinkFault
{
  kNone,
  kDelayed,  // Bytes arrive late.
  kReset,    // Connections are reset and new ones too.
  kCutUp,    // Bytes to the target vanish.
  kCutDown,  // Bytes from the target vanish.
  kSilenced, // Bytes vanish both ways.
};

// A loopback proxy in front of one address that harms what passes. Connections that met a
// cut stay silent for good, as after a partition that lost their bytes. Runs on the thread
// of its context.
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
