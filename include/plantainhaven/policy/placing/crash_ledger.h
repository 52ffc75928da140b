#pragma once

#include "plantainhaven/common/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plantainhaven::placing {

// Digest of what makes two requests the same: account, method, host, target, object and body.
using RequestDigest = std::string;

// What a VM may do with a request, given the servers that ended while they ran it.
enum class CrashVerdict
{
  kUnsuspected, // Nothing speaks against the request.
  kSuspected,   // Servers ended under it: it isn't retried, and one at a time is sent.
  kQuarantined, // It isn't sent.
};

// Servers that ended while they ran a request, as VMs tell each other.
struct CrashRecord
{
  struct Crash
  {
    // Hash of the server's process.
    std::uint64_t server = 0;
    BootTime at{};
  };

  RequestDigest request;
  std::vector<Crash> crashes{};
  // When a server last answered the request; crashes until then don't count. Unset if none has.
  BootTime answeredAt{};
};

// Finds requests that end each server that runs them. Many requests run on a server when it ends,
// so one such end says little: a request is to blame when several servers ended under it and none
// has answered it since. Evidence comes from this VM and from others; VMs agree as far as they have
// heard of the same crashes. Not thread-safe; reads no clock.
class CrashLedger
{
public:
  // Servers that ended under a request before it is quarantined.
  static constexpr std::size_t kCrashesToQuarantine = 3;
  // Requests that are kept.
  static constexpr std::size_t kMaxRequests = 1024;
  // Requests in a report to other VMs: those that this VM has seen itself, and others.
  static constexpr std::size_t kMaxOwnReported = 16;
  static constexpr std::size_t kMaxOthersReported = 8;

  // A server ended while it ran the request.
  void OnCrash(const RequestDigest& aRequest, std::uint64_t aServer, BootTime aNow);
  // A server has answered the request, whatever it answered.
  void OnAnswered(const RequestDigest& aRequest, BootTime aNow);
  // Applies what another VM knows.
  void Merge(const CrashRecord& aRecord, BootTime aNow);
  // Clears all requests, as if servers had answered them; other VMs learn of it as of an answer.
  void Clear(BootTime aNow);

  CrashVerdict VerdictOn(const RequestDigest& aRequest, BootTime aNow) const;
  // How long a quarantined request stays so.
  std::chrono::milliseconds TimeLeft(const RequestDigest& aRequest, BootTime aNow) const;
  // Records that this VM sends a request to a server, and that its attempt has ended.
  void OnSent(const RequestDigest& aRequest);
  void OnEnded(const RequestDigest& aRequest);
  bool IsRunning(const RequestDigest& aRequest) const { return this->running.contains(aRequest); }

  // Whether any request is on record; if not, digests needn't be computed.
  bool IsEmpty() const { return this->entries.empty(); }
  std::size_t Size() const { return this->entries.size(); }
  // Whether this VM has seen since the last report that a request is to be quarantined, so that
  // other VMs should learn of it at once.
  bool HasNews() const { return this->hasNews; }
  // The records for a report: what this VM has seen itself lately, and suspected requests in turn.
  // Each end of a server reaches every VM from the one that saw it, so that what others have told
  // isn't passed on at once.
  std::vector<CrashRecord> NextReport(BootTime aNow);
  // The quarantined requests, for operators.
  std::vector<CrashRecord> Quarantined(BootTime aNow) const;

private:
  struct Entry
  {
    CrashRecord record;
    BootTime changedAt{};
    // When this VM itself last saw an end or an answer.
    BootTime seenAt{};
  };

  // Number of crashes that count against the request, and the last of them.
  static std::size_t Count(const CrashRecord& aRecord);
  static BootTime LastCrash(const CrashRecord& aRecord);
  static BootTime QuarantinedUntil(const CrashRecord& aRecord);
  bool Add(Entry& aEntry, const CrashRecord::Crash& aCrash, BootTime aNow);
  Entry& EntryOf(const RequestDigest& aRequest);
  // Drops what is too old to matter.
  void Expire(BootTime aNow);

  std::map<RequestDigest, Entry> entries;
  std::map<RequestDigest, int> running;
  std::size_t position = 0;
  bool hasNews = false;
  BootTime expiredAt{};
};

} // namespace plantainhaven::placing
