#pragma once

#include "edge/names.h"
#include "edge/net.h"
#include "plantainhaven/common/metrics.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "peer.pb.h"

namespace plantainhaven::edge {

// Sends a message to another VM.
using PeerSender = std::function<void(const std::string& aEndpoint, Envelope aMessage)>;

// A live VM and the quota ranges whose units it grants.
struct QuotaHolder
{
  placing::QuotaRanges ranges;
  std::string endpoint;
  // Whether the VM is in this VM's region.
  bool isNear = false;
};

// Acquires rate limit tokens for requests: from this VM's own buckets, or borrowed from the VMs
// that own the account's units. Used from the traffic thread only.
class TokenBroker
{
public:
  TokenBroker(asio::io_context& aContext,
              Metrics& aMetrics,
              PeerSender aSendToPeer,
              std::mt19937_64& aRandom);

  TokenBuckets& Buckets() { return this->buckets; }
  // Sets what this VM may grant.
  void SetQuota(const QuotaGrant& aGrant);
  void SetHolders(std::vector<QuotaHolder> aHolders) { this->holders = std::move(aHolders); }
  // Acquires a token. Waits briefly for one to borrow if this VM has none.
  Task<TokenAcquisition> Acquire(std::string aAccount);
  // Sends the borrow requests that are due and gives the available tokens to queued requests. To
  // be called periodically.
  void Tick();
  // Handles a borrow request of another VM.
  void OnBorrowRequest(const Envelope& aMessage);
  // Handles the response of another VM to a borrow request.
  void OnGrant(const Envelope& aMessage);

private:
  struct Waiter
  {
    explicit Waiter(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    asio::steady_timer timer;
    TokenAcquisition result;
    bool isDone = false;
  };
  // The borrow requests in flight for an account, and the requests that wait for tokens.
  struct Queue
  {
    std::list<std::shared_ptr<Waiter>> waiters;
    int inFlight = 0;
    // The last lenders had no tokens to spare: new requests are rejected until this time.
    BootTime exhaustedUntil{};
    std::chrono::milliseconds retryAfter{ 0 };
  };
  struct PendingRequest
  {
    std::string account;
    std::string endpoint;
    BootTime sentAt{};
  };

  void Send(const BorrowRequest& aRequest);
  std::vector<const QuotaHolder*> HoldersOf(const std::string& aAccount) const;
  void ServeQueue(const std::string& aAccount, Queue& aQueue);
  void RejectAll(const std::string& aAccount, Queue& aQueue);
  void ExpireRequests(BootTime aNow);
  void CloseAsk(const std::string& aAccount, bool aHadTokens);

  asio::io_context& context;
  Metrics& metrics;
  PeerSender sendToPeer;
  std::mt19937_64& random;
  TokenBuckets buckets;
  std::vector<QuotaHolder> holders;
  // Requests wait for this VM's lease on its part of the limits until this time.
  BootTime renewedBy{};
  std::map<std::string, Queue> queues;
  std::map<std::uint64_t, PendingRequest> pendingRequests;
  std::uint64_t nextRequestId = 1;
  // By endpoint of a VM that didn't respond: the time until which it isn't used as a lender.
  std::map<std::string, BootTime> unresponsiveUntil;
};

} // namespace plantainhaven::edge
