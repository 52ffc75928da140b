#include "edge/token_broker.h"

#include <algorithm>
#include <utility>

namespace plantainhaven::edge {
namespace {

// Number of VMs to which a borrow request is sent in parallel.
constexpr std::size_t kMaxParallelRequests = 2;
// The maximum time for which a request waits for a token: two round trips between distant
// regions.
constexpr std::chrono::milliseconds kMaxWait{ 300 };
// A borrow request without a response for this long is considered lost.
constexpr std::chrono::milliseconds kRequestTimeout{ 250 };
// After the last lenders had no tokens to spare, requests of the account that find no token are
// rejected immediately for this time.
constexpr std::chrono::milliseconds kExhaustedBackoff{ 100 };
// A VM that didn't respond isn't used as a lender for this long: the time between two of its
// reports.
constexpr std::chrono::milliseconds kUnresponsiveBackoff{ 1500 };

} // namespace

TokenBroker::TokenBroker(asio::io_context& aContext,
                         Metrics& aMetrics,
                         PeerSender aSendToPeer,
                         std::mt19937_64& aRandom)
  : context(aContext)
  , metrics(aMetrics)
  , sendToPeer(std::move(aSendToPeer))
  , random(aRandom)
  , buckets(BootClock::Now())
{
}

void
TokenBroker::SetQuota(const QuotaGrant& aGrant)
{
  this->renewedBy = aGrant.renewedBy;
  this->buckets.SetRanges(aGrant.ranges, aGrant.validUntil, BootClock::Now());
}

Task<TokenAcquisition>
TokenBroker::Acquire(std::string aAccount)
{
  const BootTime now = BootClock::Now();
  const TokenAcquisition first = this->buckets.TryAcquire(aAccount, now);
  if (first.acquired) {
    co_return first;
  }
  Queue& queue = this->queues[aAccount];
  if (now < queue.exhaustedUntil) {
    co_return TokenAcquisition{ .acquired = false, .retryAfter = queue.retryAfter };
  }
  const auto entry = std::make_shared<Waiter>(this->context);
  entry->result = first;
  queue.waiters.push_back(entry);
  this->buckets.SetQueuedRequests(aAccount, queue.waiters.size());
  if (queue.inFlight == 0) {
    this->Send({ aAccount, static_cast<double>(queue.waiters.size()) });
  }
  if (queue.inFlight > 0 || now < this->renewedBy) {
    co_await Sleep(entry->timer, kMaxWait);
  }
  queue.waiters.remove(entry);
  this->buckets.SetQueuedRequests(aAccount, queue.waiters.size());
  this->metrics.Observe("plantainhaven_token_wait_seconds", BootClock::Now() - now);
  if (!entry->isDone) {
    this->metrics.Count("plantainhaven_token_waits_without_answer_total");
  }
  co_return entry->result;
}

// The responsive VMs that own units of the account, in random order.
std::vector<const QuotaHolder*>
TokenBroker::HoldersOf(const std::string& aAccount) const
{
  const std::vector<std::uint32_t> positions = this->buckets.Positions(aAccount);
  std::vector<const QuotaHolder*> found;
  const BootTime now = BootClock::Now();
  for (const QuotaHolder& holder : this->holders) {
    const auto unresponsive = this->unresponsiveUntil.find(holder.endpoint);
    const bool answers =
      unresponsive == this->unresponsiveUntil.end() || unresponsive->second <= now;
    if (answers && placing::HeldFraction(positions, holder.ranges) > 0) {
      found.push_back(&holder);
    }
  }
  std::shuffle(found.begin(), found.end(), this->random);
  return found;
}

void
TokenBroker::Send(const BorrowRequest& aRequest)
{
  std::vector<const QuotaHolder*> found = this->HoldersOf(aRequest.account);
  // Prefers one VM of this region for its short round trip. The others are random, so that the
  // load is spread.
  const auto near = std::find_if(
    found.begin(), found.end(), [](const QuotaHolder* aHolder) { return aHolder->isNear; });
  if (near != found.end()) {
    std::iter_swap(found.begin(), near);
  }
  for (std::size_t i = 0; i < std::min(found.size(), kMaxParallelRequests); ++i) {
    Envelope message;
    message.set_ask_id(this->nextRequestId++);
    message.mutable_token_ask()->set_account(aRequest.account);
    message.mutable_token_ask()->set_amount(aRequest.amount);
    this->pendingRequests.emplace(
      message.ask_id(), PendingRequest{ aRequest.account, found[i]->endpoint, BootClock::Now() });
    ++this->queues[aRequest.account].inFlight;
    this->sendToPeer(found[i]->endpoint, std::move(message));
  }
}

void
TokenBroker::Tick()
{
  const BootTime now = BootClock::Now();
  this->ExpireRequests(now);
  for (const BorrowRequest& request : this->buckets.CollectBorrowRequests(now)) {
    this->Send(request);
  }
  for (auto& [account, queue] : this->queues) {
    this->ServeQueue(account, queue);
  }
}

void
TokenBroker::ExpireRequests(BootTime aNow)
{
  for (auto request = this->pendingRequests.begin(); request != this->pendingRequests.end();) {
    if (aNow - request->second.sentAt <= kRequestTimeout) {
      ++request;
      continue;
    }
    --this->queues[request->second.account].inFlight;
    this->unresponsiveUntil[request->second.endpoint] = aNow + kUnresponsiveBackoff;
    request = this->pendingRequests.erase(request);
  }
}

void
TokenBroker::ServeQueue(const std::string& aAccount, Queue& aQueue)
{
  const BootTime now = BootClock::Now();
  while (!aQueue.waiters.empty() && this->buckets.TryAcquireQueued(aAccount, now)) {
    const std::shared_ptr<Waiter> first = aQueue.waiters.front();
    aQueue.waiters.pop_front();
    first->result = { .acquired = true };
    first->isDone = true;
    first->timer.cancel();
  }
  this->buckets.SetQueuedRequests(aAccount, aQueue.waiters.size());
}

void
TokenBroker::RejectAll(const std::string& aAccount, Queue& aQueue)
{
  for (const std::shared_ptr<Waiter>& entry : aQueue.waiters) {
    entry->result = { .acquired = false, .retryAfter = aQueue.retryAfter };
    entry->isDone = true;
    entry->timer.cancel();
  }
  aQueue.waiters.clear();
  this->buckets.SetQueuedRequests(aAccount, 0);
}

void
TokenBroker::OnBorrowRequest(const Envelope& aMessage)
{
  const TokenAsk& request = aMessage.token_ask();
  const double lent = this->buckets.Lend(request.account(), request.amount(), BootClock::Now());
  Envelope response;
  response.set_ask_id(aMessage.ask_id());
  TokenGrant& grant = *response.mutable_token_grant();
  grant.set_account(request.account());
  grant.set_amount(lent);
  if (lent <= 0) {
    const auto wait = this->buckets.TimeToRefill(request.account());
    grant.set_retry_after_ms(static_cast<std::uint32_t>(wait.count()));
  }
  this->sendToPeer(aMessage.reply_to(), std::move(response));
}

void
TokenBroker::OnGrant(const Envelope& aMessage)
{
  const auto found = this->pendingRequests.find(aMessage.ask_id());
  if (found == this->pendingRequests.end()) {
    return;
  }
  const PendingRequest request = found->second;
  this->pendingRequests.erase(found);
  const TokenGrant& grant = aMessage.token_grant();
  Queue& queue = this->queues[request.account];
  --queue.inFlight;
  this->buckets.OnGrant(request.account, grant.amount(), request.sentAt, BootClock::Now());
  this->ServeQueue(request.account, queue);
  if (grant.amount() > 0) {
    return;
  }
  queue.retryAfter = std::chrono::milliseconds(grant.retry_after_ms());
  if (queue.inFlight == 0 && !queue.waiters.empty()) {
    queue.exhaustedUntil = BootClock::Now() + kExhaustedBackoff;
    this->RejectAll(request.account, queue);
  }
}

} // namespace plantainhaven::edge
