#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <httplib.h>

namespace plantainhaven {

using SteadyTime = std::chrono::steady_clock::time_point;

// Why a stream gives no more bytes or takes none.
enum class StreamFault
{
  kNone,
  kEnd,     // The other end closed.
  kBroken,  // The connection was reset or the socket is unusable.
  kTimeout, // The time was over.
  kTooLong, // More bytes came than were allowed.
};

// The time a stream may take. An operation ends at whichever comes first.
struct StreamTimes
{
  // Longest wait for progress.
  std::chrono::milliseconds progress{ 5000 };
  // Time by which all must be over.
  SteadyTime deadline = SteadyTime::max();
};

// A socket as cpp-httplib reads and writes it, with buffers, with deadlines and
// without select(), so that descriptors above 1023 work. It reads heads by itself,
// since cpp-httplib decodes %XX in header values and keeps no order. Doesn't own
// the descriptor.
class SocketStream : public httplib::Stream
{
public:
  explicit SocketStream(int aDescriptor);

  void SetTimes(const StreamTimes& aTimes) { this->times = aTimes; }
  // Most bytes to take from the socket from now on.
  void SetReadBudget(std::uint64_t aBytes) { this->readBudget = aBytes; }
  // Reads up to and with the first blank line. Blank lines before it are dropped.
  StreamFault ReadHead(std::size_t aMax, std::string& aHead);
  // Takes what has arrived, without waiting. True when a whole head or `aMax` bytes
  // are there, or when nothing more can come; ReadHead() then returns at once.
  bool TryReceiveHead(std::size_t aMax);
  // Bytes that read() returns before those of the socket.
  void Inject(std::string aBytes);
  // The next write() is dropped, and these bytes go out in its place.
  void ReplaceNextWrite(std::string aBytes);
  // Sends what was written so far. False when that fails.
  bool Flush();
  // True when bytes were received that nobody has read yet.
  bool HasInput() const { return this->inputStart < this->input.size(); }
  StreamFault Fault() const { return this->fault; }
  std::uint64_t BytesSent() const { return this->bytesSent; }
  std::uint64_t BytesReceived() const { return this->bytesReceived; }

  bool is_readable() const override { return this->fault == StreamFault::kNone; }
  bool is_writable() const override { return this->fault == StreamFault::kNone; }
  ssize_t read(char* aBytes, size_t aSize) override;
  ssize_t write(const char* aBytes, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  // Always a small number: cpp-httplib refuses descriptors that select() can't take.
  socket_t socket() const override { return 0; }
  // Names also the forms of write that the base class builds on the one above.
  using httplib::Stream::write;

private:
  bool WaitFor(short aEvents);
  // Appends to `input`. False when nothing came.
  bool Receive();
  bool Send(const char* aBytes, std::size_t aSize);
  void DropReadInput();
  bool Fail(StreamFault aFault);

  int descriptor;
  StreamTimes times;
  StreamFault fault = StreamFault::kNone;
  std::uint64_t readBudget = UINT64_MAX;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::string injected;
  std::size_t injectedStart = 0;
  std::string input;
  std::size_t inputStart = 0;
  std::string output;
  std::string replacement;
  bool replacesNextWrite = false;
};

} // namespace plantainhaven
