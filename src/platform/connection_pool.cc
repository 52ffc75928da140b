#include "platform/connection_pool.h"

#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

// A connection that was idle longer may have gone silent without a sign.
constexpr std::chrono::seconds kLongestIdle{ 1 };
constexpr std::size_t kMostIdle = 16;

} // namespace

ConnectionPool::ConnectionPool(HttpClientOptions aOptions)
  : options(std::move(aOptions))
{
}

std::unique_ptr<HttpConnection>
ConnectionPool::Take(BootTime aNow)
{
  const std::lock_guard lock(this->mutex);
  if (!this->idle.empty() && aNow - this->idle.back().since > kLongestIdle) {
    // All others have been idle for longer.
    this->idle.clear();
  }
  if (!this->idle.empty()) {
    Idle newest = std::move(this->idle.back());
    this->idle.pop_back();
    return std::move(newest.connection);
  }
  return this->MakeNew();
}

std::unique_ptr<HttpConnection>
ConnectionPool::MakeNew() const
{
  return std::make_unique<HttpConnection>(this->options);
}

void
ConnectionPool::Return(std::unique_ptr<HttpConnection> aConnection, BootTime aNow)
{
  const std::lock_guard lock(this->mutex);
  if (this->idle.size() < kMostIdle && aConnection->IsOpen()) {
    this->idle.push_back(Idle{ std::move(aConnection), aNow });
  }
}

void
ConnectionPool::Clear()
{
  const std::lock_guard lock(this->mutex);
  this->idle.clear();
}

} // namespace plantainhaven
