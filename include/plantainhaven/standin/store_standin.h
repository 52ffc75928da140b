#pragma once

#include "plantainhaven/standin/store_rows.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::standin {

// How the store fails the calls of the affected callers.
enum class StoreOutage
{
  kNone,
  kUnavailable, // Responds with 503; the call has no effect.
  kTooMany,     // Responds with 429; the call has no effect.
  kReset,       // Resets the connection.
  kSilent,      // Never responds.
};

struct StoreFaults
{
  StoreOutage outage = StoreOutage::kNone;
  // IP addresses of the callers that `outage` affects; empty for all.
  std::vector<std::string> callers;
  std::chrono::milliseconds delay{ 0 };
  // Every Nth write is applied but its response is lost; 0 disables the fault.
  int loseEvery = 0;
  // Every Nth write gets no response and is applied after `lateBy`, if its conditions still
  // hold then; 0 disables the fault.
  int lateEvery = 0;
  std::chrono::milliseconds lateBy{ 0 };
  // Rate at which the responses to each caller arrive, as over a narrow link; 0 for no limit.
  std::size_t bytesPerSecond = 0;
  // Responses stop after this many bytes, and the connection stays open; 0 disables the fault.
  std::size_t stopsAfterBytes = 0;
};

// Test double of the platform's store over HTTP with the published calls rows-tx, rows-get
// and rows-feed. Runs on the thread of its context; its methods must be called there.
class StoreStandin
{
public:
  // Throws boost::system::system_error when the address can't be bound. Port 0 binds any free
  // port.
  StoreStandin(boost::asio::io_context& aContext, const std::string& aAddress, std::uint16_t aPort);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  // Returns the listening "ADDRESS:PORT".
  std::string Address() const;
  void SetFaults(StoreFaults aFaults);
  // Writes a row for the operator or a backend server; faults don't affect it.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  void ForgetHistory();
  // Restores the rows as of a version, as from a backup.
  void RewindTo(std::uint64_t aVersion);
  const StoreRows& Rows() const;
  // Number of calls so far, including those that a fault rejected.
  std::uint64_t Calls() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace plantainhaven::standin
