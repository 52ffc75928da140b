#pragma once

#include "ledger.h"

#include "edge/net.h"

#include <boost/beast/core.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace plantainhaven::soak {

// Name, loopback ports and region of a VM.
struct KnownVm
{
  std::string name;
  std::uint16_t callers = 0;
  std::uint16_t lookups = 0;
  std::string region;
};

// Simulated callers. Each looks up a VM, sends several requests over one connection and
// records requests and responses in the ledger. They run until the context ends.
class Callers
{
public:
  Callers(edge::asio::io_context& aContext,
          std::vector<KnownVm> aVms,
          Ledger& aLedger,
          std::uint64_t aSeed);

  void Start(int aCount);
  // Stops sending requests; requests in flight complete.
  void Stop() { this->isStopped = true; }

private:
  edge::Task<void> Run(int aNumber);
  edge::Task<std::string> LookUp(const KnownVm& aVm, const std::string& aRegion);
  edge::Task<void> UseConnection(const KnownVm& aVm);
  edge::Task<bool> SendRequest(edge::beast::tcp_stream& aStream,
                               edge::beast::flat_buffer& aBuffer,
                               const std::string& aVm);
  const KnownVm* VmAt(const std::string& aAddress) const;

  edge::asio::io_context& context;
  std::vector<KnownVm> vms;
  Ledger& ledger;
  std::mt19937_64 random;
  std::uint64_t nextId = 1;
  bool isStopped = false;
};

} // namespace plantainhaven::soak
