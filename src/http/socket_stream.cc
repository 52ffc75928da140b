#include "http/socket_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace plantainhaven {

namespace {

constexpr std::size_t kReadSize = 16384;
constexpr std::size_t kFlushSize = 65536;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

std::size_t
Take(std::string& aFrom, std::size_t& aStart, char* aBytes, std::size_t aSize)
{
  const std::size_t size = std::min(aSize, aFrom.size() - aStart);
  std::copy_n(aFrom.data() + aStart, size, aBytes);
  aStart += size;
  if (aStart == aFrom.size()) {
    aFrom.clear();
    aStart = 0;
  }
  return size;
}

} // namespace

SocketStream::SocketStream(int aDescriptor)
  : descriptor(aDescriptor)
{
}

bool
SocketStream::Fail(StreamFault aFault)
{
  if (this->fault == StreamFault::kNone) {
    this->fault = aFault;
  }
  return false;
}

bool
SocketStream::WaitFor(short aEvents)
{
  using std::chrono::milliseconds;
  const auto start = std::chrono::steady_clock::now();
  const SteadyTime until = std::min(this->times.deadline, start + this->times.progress);
  for (;;) {
    const auto left = until - std::chrono::steady_clock::now();
    const auto wait = std::chrono::ceil<milliseconds>(left);
    if (left <= left.zero()) {
      return this->Fail(StreamFault::kTimeout);
    }
    pollfd entry{ this->descriptor, aEvents, 0 };
    const int ready = ::poll(&entry, 1, static_cast<int>(wait.count()));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return this->Fail(StreamFault::kBroken);
    }
  }
}

bool
SocketStream::Receive()
{
  if (this->fault != StreamFault::kNone) {
    return false;
  }
  const std::size_t size = std::min<std::uint64_t>(kReadSize, this->readBudget);
  if (size == 0) {
    return this->Fail(StreamFault::kTooLong);
  }
  if (std::chrono::steady_clock::now() >= this->times.deadline) {
    return this->Fail(StreamFault::kTimeout);
  }
  std::array<char, kReadSize> bytes;
  ssize_t count = 0;
  do {
    count = ::recv(this->descriptor, bytes.data(), size, MSG_DONTWAIT);
  } while (count < 0 && (errno == EINTR || (errno == EAGAIN && this->WaitFor(POLLIN))));
  if (count <= 0) {
    return this->Fail(count == 0 ? StreamFault::kEnd : StreamFault::kBroken);
  }
  this->input.append(bytes.data(), static_cast<std::size_t>(count));
  this->readBudget -= static_cast<std::uint64_t>(count);
  this->bytesReceived += static_cast<std::uint64_t>(count);
  return true;
}

void
SocketStream::DropReadInput()
{
  this->input.erase(0, this->inputStart);
  this->inputStart = 0;
  while (this->input.starts_with(kLineEnd)) {
    this->input.erase(0, kLineEnd.size());
  }
}

bool
SocketStream::TryReceiveHead(std::size_t aMax)
{
  const StreamTimes old = std::exchange(this->times, { std::chrono::milliseconds::zero() });
  const bool received = this->Receive();
  this->times = old;
  if (!received && this->fault == StreamFault::kTimeout) {
    this->fault = StreamFault::kNone; // Nothing had arrived, which is no fault here.
    return false;
  }
  this->DropReadInput();
  return !received || this->input.size() >= aMax || this->input.find(kHeadEnd) != std::string::npos;
}

StreamFault
SocketStream::ReadHead(std::size_t aMax, std::string& aHead)
{
  this->DropReadInput();
  std::size_t searched = 0;
  for (;;) {
    const std::size_t end = this->input.find(kHeadEnd, searched);
    if (end != std::string::npos && end + kHeadEnd.size() <= aMax) {
      aHead = this->input.substr(0, end + kHeadEnd.size());
      this->inputStart = aHead.size();
      return StreamFault::kNone;
    }
    if (this->input.size() >= aMax) {
      return StreamFault::kTooLong;
    }
    searched = this->input.size() < kHeadEnd.size() ? 0 : this->input.size() - kHeadEnd.size();
    if (!this->Receive()) {
      return this->fault;
    }
    this->DropReadInput();
  }
}

void
SocketStream::Inject(std::string aBytes)
{
  this->injected = std::move(aBytes);
  this->injectedStart = 0;
}

void
SocketStream::ReplaceNextWrite(std::string aBytes)
{
  this->replacement = std::move(aBytes);
  this->replacesNextWrite = true;
}

ssize_t
SocketStream::read(char* aBytes, size_t aSize)
{
  if (!this->injected.empty()) {
    return static_cast<ssize_t>(Take(this->injected, this->injectedStart, aBytes, aSize));
  }
  if (!this->HasInput()) {
    this->input.clear();
    this->inputStart = 0;
    if (!this->Receive()) {
      return this->fault == StreamFault::kEnd ? 0 : -1;
    }
  }
  return static_cast<ssize_t>(Take(this->input, this->inputStart, aBytes, aSize));
}

ssize_t
SocketStream::write(const char* aBytes, size_t aSize)
{
  if (this->replacesNextWrite) {
    this->replacesNextWrite = false;
    this->output += this->replacement;
    return static_cast<ssize_t>(aSize);
  }
  if (this->output.size() + aSize < kFlushSize) {
    this->output.append(aBytes, aSize);
    return static_cast<ssize_t>(aSize);
  }
  return this->Flush() && this->Send(aBytes, aSize) ? static_cast<ssize_t>(aSize) : -1;
}

bool
SocketStream::Flush()
{
  const std::string bytes = std::exchange(this->output, {});
  return this->Send(bytes.data(), bytes.size());
}

bool
SocketStream::Send(const char* aBytes, std::size_t aSize)
{
  std::size_t sent = 0;
  while (sent < aSize && this->fault == StreamFault::kNone) {
    if (std::chrono::steady_clock::now() >= this->times.deadline) {
      return this->Fail(StreamFault::kTimeout);
    }
    const ssize_t count =
      ::send(this->descriptor, aBytes + sent, aSize - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
      sent += static_cast<std::size_t>(count);
      this->bytesSent += static_cast<std::uint64_t>(count);
    } else if (errno == EAGAIN) {
      this->WaitFor(POLLOUT);
    } else if (errno != EINTR) {
      this->Fail(StreamFault::kBroken);
    }
  }
  return this->fault == StreamFault::kNone;
}

void
SocketStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

void
SocketStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp.clear();
  aPort = 0;
}

} // namespace plantainhaven
