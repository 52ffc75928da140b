#pragma once

#include "plantainhaven/standin/store_rows.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace plantainhaven::standin {

// How the store treats the calls of the machines that a fault hits.
enum class StoreOutage
{
  kNone,
  kUnavailable, // 503: nothing is done.
  kTooMany,     // 429: nothing is done.
  kReset,       // The connection is reset.
  kSilent,      // No answer ever comes.
};

struct StoreFaults
{
  StoreOutage outage = StoreOutage::kNone;
  // Addresses of the callers that `outage` hits; empty for all.
  std::vector<std::string> callers;
  std::chrono::milliseconds delay{ 0 };
  // Of so many writes the last is done and its answer lost; 0 for none.
  int loseEvery = 0;
  // Of so many writes the last gets no answer and is done after `lateBy`, if its conditions
  // still hold then; 0 for none.
  int lateEvery = 0;
  std::chrono::milliseconds lateBy{ 0 };
};

// The platform's store over HTTP by its published protocol: rows-tx, rows-get, rows-feed.
// Runs on the thread of its context; its methods may be called from there only.
class StoreStandin
{
public:
  // Throws boost::system::system_error when the address can't be had. Port 0 takes any.
  StoreStandin(boost::asio::io_context& aContext, const std::string& aAddress, std::uint16_t aPort);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  // "ADDRESS:PORT" where it listens.
  std::string Address() const;
  void SetFaults(StoreFaults aFaults);
  // What the operator and the backend servers write: no fault touches it.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  void ForgetHistory();
  // Comes back from the copy at a version.
  void RewindTo(std::uint64_t aVersion);
  const StoreRows& Rows() const;
  // Calls so far, refused ones included.
  std::uint64_t Calls() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace plantainhaven::standin
