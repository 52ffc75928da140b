#include "http/parking.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <sys/epoll.h>
#include <unistd.h>

namespace plantainhaven {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kEventsAtOnce = 256;
// Time between two looks for expired connections.
constexpr std::chrono::milliseconds kTick{ 50 };
constexpr std::chrono::milliseconds kGentleClose{ 1000 };

} // namespace

Parking::Parking(std::size_t aMaxHead, std::chrono::milliseconds aHeadTime, Ready aReady)
  : maxHead(aMaxHead)
  , headTime(aHeadTime)
  , ready(std::move(aReady))
  , poller(::epoll_create1(EPOLL_CLOEXEC))
  , thread([this] { this->Watch(); })
{
}

Parking::~Parking()
{
  this->Stop();
  this->connections.clear();
  ::close(this->poller);
}

void
Parking::Stop()
{
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
Parking::Arm(int aDescriptor, int aOperation) const
{
  epoll_event event{};
  event.events = EPOLLIN | EPOLLONESHOT;
  event.data.fd = aDescriptor;
  ::epoll_ctl(this->poller, aOperation, aDescriptor, &event);
}

void
Parking::Park(std::unique_ptr<ServerConnection> aConnection)
{
  const std::lock_guard guard(this->mutex);
  const int descriptor = aConnection->Descriptor();
  this->connections[descriptor] = std::move(aConnection);
  this->Arm(descriptor, EPOLL_CTL_ADD);
}

void
Parking::CloseGently(std::unique_ptr<ServerConnection> aConnection, const std::string& aLastBytes)
{
  aConnection->SendLast(aLastBytes);
  aConnection->isClosing = true;
  aConnection->expiry = Clock::now() + kGentleClose;
  this->Park(std::move(aConnection));
}

void
Parking::CloseIdle()
{
  const std::lock_guard guard(this->mutex);
  std::erase_if(this->connections, [](const auto& aEntry) {
    return !aEntry.second->isClosing && aEntry.second->IsQuiet();
  });
}

std::size_t
Parking::Idle() const
{
  const std::lock_guard guard(this->mutex);
  return static_cast<std::size_t>(
    std::count_if(this->connections.begin(), this->connections.end(), [](const auto& aEntry) {
      return !aEntry.second->isClosing;
    }));
}

std::size_t
Parking::Size() const
{
  const std::lock_guard guard(this->mutex);
  return this->connections.size();
}

void
Parking::CloseExpired()
{
  const auto now = Clock::now();
  const std::lock_guard guard(this->mutex);
  std::erase_if(this->connections,
                [now](const auto& aEntry) { return aEntry.second->expiry <= now; });
}

bool
Parking::KeepsWaiting(ServerConnection& aConnection) const
{
  if (aConnection.isClosing) {
    return aConnection.Discard();
  }
  const bool isFirst = !aConnection.stream.HasInput();
  if (aConnection.stream.TryReceiveHead(this->maxHead)) {
    return false;
  }
  if (isFirst && aConnection.stream.HasInput()) {
    aConnection.expiry = Clock::now() + this->headTime;
  }
  return true;
}

void
Parking::OnReadable(int aDescriptor)
{
  std::unique_ptr<ServerConnection> connection;
  {
    const std::lock_guard guard(this->mutex);
    const auto found = this->connections.find(aDescriptor);
    if (found == this->connections.end()) {
      return;
    }
    if (this->KeepsWaiting(*found->second)) {
      this->Arm(aDescriptor, EPOLL_CTL_MOD);
      return;
    }
    connection = std::move(found->second);
    this->connections.erase(found);
    ::epoll_ctl(this->poller, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
  if (!connection->isClosing) {
    this->ready(std::move(connection));
  }
}

void
Parking::Watch()
{
  auto nextTick = Clock::now() + kTick;
  while (!this->stopping) {
    std::array<epoll_event, kEventsAtOnce> events{};
    const int count = ::epoll_wait(this->poller,
                                   events.data(),
                                   static_cast<int>(events.size()),
                                   static_cast<int>(kTick.count()));
    for (int index = 0; index < count; ++index) {
      this->OnReadable(events[static_cast<std::size_t>(index)].data.fd);
    }
    if (Clock::now() >= nextTick) {
      this->CloseExpired();
      nextTick = Clock::now() + kTick;
    }
  }
}

} // namespace plantainhaven
