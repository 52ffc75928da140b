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

// Another VM that was heard lately and what it may give out.
struct QuotaHolder
{
  placing::QuotaRange range;
  std::string endpoint;
  // In this VM's region.
  bool isNear = false;
};

// Gives requests the tokens of their client accounts, own ones or those of the VMs that hold
// the account's units. Used from the traffic thread only.
class TokenBroker
{
public:
  TokenBroker(asio::io_context& aContext,
              Metrics& aMetrics,
              PeerSender aSendToPeer,
              std::mt19937_64& aRandom);

  TokenBuckets& Buckets() { return this->buckets; }
  void SetHolders(std::vector<QuotaHolder> aHolders) { this->holders = std::move(aHolders); }
  // Takes a token, waiting shortly for one that another VM may lend.
  Task<TokenAcquisition> Acquire(std::string aAccount);
  // Asks for what will run short, and serves those that wait. Call it often.
  void Tick();
  // Another VM asks for tokens.
  void OnAsk(const Envelope& aMessage);
  // Another VM's answer.
  void OnGrant(const Envelope& aMessage);

private:
  struct Waiting
  {
    explicit Waiting(asio::io_context& aContext)
      : timer(aContext)
    {
    }
    asio::steady_timer timer;
    TokenAcquisition result;
    bool isDone = false;
  };
  // The asks of one account that are under way, and who waits for them.
  struct Queue
  {
    std::list<std::shared_ptr<Waiting>> waiting;
    int open = 0;
    // All that was asked last had nothing: requests are refused until then.
    BootTime emptyUntil{};
    std::chrono::milliseconds retryAfter{ 0 };
  };
  struct Ask
  {
    std::string account;
    std::string endpoint;
    BootTime sentAt{};
  };

  void Send(const BorrowRequest& aWish);
  std::vector<const QuotaHolder*> HoldersOf(const std::string& aAccount) const;
  void Serve(const std::string& aAccount, Queue& aQueue);
  void RefuseAll(const std::string& aAccount, Queue& aQueue);
  void DropLost(BootTime aNow);
  void CloseAsk(const std::string& aAccount, bool aHadTokens);

  asio::io_context& context;
  Metrics& metrics;
  PeerSender sendToPeer;
  std::mt19937_64& random;
  TokenBuckets buckets;
  std::vector<QuotaHolder> holders;
  std::map<std::string, Queue> queues;
  std::map<std::uint64_t, Ask> asks;
  std::uint64_t nextAsk = 1;
  // Holders that didn't answer, and until when others are asked instead.
  std::map<std::string, BootTime> silentUntil;
};

} // namespace plantainhaven::edge
