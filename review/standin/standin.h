// Stand-ins for the platform's store, the backend servers and the callers, and the control of the
// daemon's processes, for the scripts in review/. They follow the users' pages: HTTP/1.1 over TCP,
// one thread a connection, loopback only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline long
NowMs()
{
  return static_cast<long>(
    std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count());
}

inline void
SleepMs(long aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(milliseconds(aMs));
  }
}

// The record of what was sent, answered and run; also printed.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(std::fopen(aFile.c_str(), "w"))
  {
  }
  void Line(const char* aFormat, ...)
  {
    const std::lock_guard guard(this->mutex);
    char text[2048];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    for (std::FILE* out : { this->file, stdout }) {
      std::fprintf(out, "%8.3f %s\n", NowMs() / 1000.0, text);
      std::fflush(out);
    }
  }

private:
  std::mutex mutex;
  std::FILE* file;
};

// ---- HTTP ------------------------------------------------------------------------------------

struct Message
{
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : this->fields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Word(int aIndex) const
  {
    std::size_t from = 0;
    for (int i = 0; i < aIndex && from != std::string::npos; ++i) {
      from = this->start.find(' ', from);
      from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos ? std::string()
                                     : this->start.substr(from, this->start.find(' ', from) - from);
  }
  int Status() const { return std::atoi(this->Word(1).c_str()); }
};

// A connection with a read buffer.
struct Stream
{
  int fd = -1;
  std::string buffer;

  // Reads more bytes; false at the end, on an error or after the timeout.
  bool Fill(long aTimeoutMs)
  {
    pollfd waiting{ this->fd, POLLIN, 0 };
    if (::poll(&waiting, 1, static_cast<int>(std::max(0L, aTimeoutMs))) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t size = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool Write(const std::string& aBytes) const
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size =
        ::send(this->fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
};

inline bool
ReadHead(Stream& aStream, Message& aMessage, long aTimeoutMs)
{
  const long until = NowMs() + aTimeoutMs;
  std::size_t end = std::string::npos;
  while ((end = aStream.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!aStream.Fill(until - NowMs())) {
      return false;
    }
  }
  const std::string head = aStream.buffer.substr(0, end + 2);
  aStream.buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  aMessage = {};
  aMessage.start = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const std::size_t next = head.find("\r\n", at);
    const std::string line = head.substr(at, next - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      aMessage.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    at = next + 2;
  }
  return true;
}

// Reads the body by its length or its chunks; an answer without both ends with its connection.
inline bool
ReadBody(Stream& aStream, Message& aMessage, bool aIsAnswer, long aTimeoutMs)
{
  const long until = NowMs() + aTimeoutMs;
  const auto need = [&](std::size_t aSize) {
    while (aStream.buffer.size() < aSize) {
      if (!aStream.Fill(until - NowMs())) {
        return false;
      }
    }
    return true;
  };
  const std::string length = aMessage.Field("Content-Length");
  if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    if (!need(size)) {
      return false;
    }
    aMessage.body = aStream.buffer.substr(0, size);
    aStream.buffer.erase(0, size);
    return true;
  }
  if (strcasecmp(aMessage.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = aStream.buffer.find("\r\n")) == std::string::npos) {
        if (!aStream.Fill(until - NowMs())) {
          return false;
        }
      }
      const std::size_t size = std::strtoul(aStream.buffer.c_str(), nullptr, 16);
      if (!need(end + 2 + size + 2)) {
        return false;
      }
      aMessage.body += aStream.buffer.substr(end + 2, size);
      aStream.buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  if (aIsAnswer) {
    while (aStream.Fill(until - NowMs())) {
    }
    aMessage.body = std::exchange(aStream.buffer, {});
  }
  return true;
}

inline std::string
Answer(int aStatus,
       const std::string& aBody,
       const std::vector<std::pair<std::string, std::string>>& aFields = {})
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline sockaddr_in
Loopback(int aPort, const char* aAddress = "127.0.0.1")
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aAddress, &address.sin_addr);
  return address;
}

// A TCP port of 127.0.0.1 that was free a moment ago, outside the range of ephemeral ports.
inline int
FreePort()
{
  static int sNext = 12000 + (::getpid() * 37) % 15000;
  for (int tries = 0; tries < 4000; ++tries) {
    const int port = sNext++;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    const bool isFree =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (isFree) {
      return port;
    }
  }
  std::exit(2);
}

// Listens and serves each connection on a thread of its own.
class Listener
{
public:
  using Serve = std::function<void(Stream&)>;

  // `aPrepare` may set options of the listening socket before it listens.
  Listener(int aPort, Serve aServe, const std::function<void(int)>& aPrepare = nullptr)
    : serve(std::move(aServe))
  {
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (aPrepare) {
      aPrepare(this->fd);
    }
    const sockaddr_in address = Loopback(aPort);
    if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(this->fd, 512) != 0) {
      std::fprintf(stderr, "can't listen on %d\n", aPort);
      std::exit(2);
    }
    std::thread([this] {
      while (true) {
        const int client = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          SleepMs(5);
          continue;
        }
        const int one = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([this, client] {
          Stream stream{ client, {} };
          this->serve(stream);
          ::shutdown(client, SHUT_RDWR);
          ::close(client);
        }).detach();
      }
    }).detach();
  }

private:
  int fd = -1;
  Serve serve;
};

// ---- base64 ----------------------------------------------------------------------------------

inline std::string
ToBase64(const std::string& aBytes)
{
  static const char kLetters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < count ? static_cast<unsigned char>(aBytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= count ? kLetters[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

// ---- the platform's store ---------------------------------------------------------------------

struct Row
{
  // Base64, as it is sent.
  std::string value;
  std::uint64_t version = 0;
  bool isRemoved = false;
};

// One call of a VM, as the store sees it.
struct StoreCall
{
  std::string vm;
  std::string method;
  std::string path;
  std::string table;
  std::uint64_t after = 0;
  long waitMs = 0;
  long startedMs = 0;
};

class Store
{
public:
  // Called when a feed's answer is ready and before it is sent: may wait, as a slow link does.
  std::function<void(const StoreCall&, std::uint64_t aVersion)> beforeFeedAnswer;
  // Called when a call arrives.
  std::function<void(const StoreCall&)> onCall;
  std::uint64_t era = 1;

  // Opens an address for one VM, so that calls can be told apart. Returns the port.
  int AddLink(const std::string& aVm)
  {
    const int port = FreePort();
    this->links.push_back(std::make_unique<Listener>(
      port, [this, aVm](Stream& aStream) { this->Serve(aVm, aStream); }));
    return port;
  }

  // A write of the operator or of a server; returns the version that acknowledges it.
  std::uint64_t Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard guard(this->mutex);
    this->Set(aTable, aKey, { ToBase64(aValue), ++this->version, false });
    return this->version;
  }
  std::uint64_t Remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard guard(this->mutex);
    this->Set(aTable, aKey, { {}, ++this->version, true });
    return this->version;
  }

private:
  void Set(const std::string& aTable, const std::string& aKey, Row aRow)
  {
    this->tables[aTable][aKey] = std::move(aRow);
    this->changed.notify_all();
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const std::string mark = aName + "=";
    for (std::size_t at = aTarget.find('?'); at != std::string::npos;
         at = aTarget.find('&', at + 1)) {
      if (aTarget.compare(at + 1, mark.size(), mark) == 0) {
        const std::size_t from = at + 1 + mark.size();
        return aTarget.substr(from, aTarget.find('&', from) - from);
      }
    }
    return {};
  }

  static Json Encode(const std::string& aTable, const std::string& aKey, const Row& aRow)
  {
    Json row{ { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aRow.version } };
    if (aRow.isRemoved) {
      row["removed"] = true;
    } else {
      row["value"] = aRow.value;
    }
    return row;
  }

  Json WithVersion(Json aBody) const
  {
    aBody["ver"] = this->version;
    aBody["now_ms"] = NowMs();
    return aBody;
  }

  std::pair<int, Json> Transact(const Json& aBody)
  {
    const std::lock_guard guard(this->mutex);
    for (const Json& condition : aBody.value("precondition", Json::array())) {
      const auto& table = this->tables[condition.at("table").get<std::string>()];
      const auto found = table.find(condition.at("key").get<std::string>());
      const bool exists = found != table.end() && !found->second.isRemoved;
      if ((exists ? found->second.version : 0) != condition.at("ver").get<std::uint64_t>()) {
        return { 412, this->WithVersion({ { "rows", Json::array() } }) };
      }
    }
    ++this->version;
    for (const Json& put : aBody.value("puts", Json::array())) {
      this->Set(put.at("table").get<std::string>(),
                put.at("key").get<std::string>(),
                { put.at("value").get<std::string>(), this->version, false });
    }
    return { 200, this->WithVersion(Json::object()) };
  }

  std::pair<int, Json> Get(const std::string& aTable)
  {
    const std::lock_guard guard(this->mutex);
    Json rows = Json::array();
    for (const auto& [key, row] : this->tables[aTable]) {
      if (!row.isRemoved) {
        rows.push_back(Encode(aTable, key, row));
      }
    }
    return { 200, this->WithVersion({ { "rows", rows }, { "has_more", false } }) };
  }

  std::pair<int, Json> Feed(const StoreCall& aCall)
  {
    std::unique_lock guard(this->mutex);
    const auto until = Clock::now() + milliseconds(std::min(aCall.waitMs, 30000L));
    while (true) {
      std::map<std::uint64_t, Json> byVersion;
      for (const auto& [key, row] : this->tables[aCall.table]) {
        if (row.version > aCall.after) {
          byVersion.emplace(row.version, Json::array()).first->second.push_back(
            Encode(aCall.table, key, row));
        }
      }
      if (!byVersion.empty() || Clock::now() >= until) {
        Json rows = Json::array();
        for (const auto& [version, list] : byVersion) {
          rows.insert(rows.end(), list.begin(), list.end());
        }
        return { 200, this->WithVersion({ { "rows", rows } }) };
      }
      this->changed.wait_until(guard, until);
    }
  }

  void Serve(const std::string& aVm, Stream& aStream)
  {
    Message request;
    while (ReadHead(aStream, request, 60000) && ReadBody(aStream, request, false, 5000)) {
      const std::string target = request.Word(1);
      StoreCall call{ aVm,
                      request.Word(0),
                      target.substr(0, target.find('?')),
                      Query(target, "table"),
                      std::strtoull(Query(target, "after").c_str(), nullptr, 10),
                      std::atol(Query(target, "wait_ms").c_str()),
                      NowMs() };
      if (this->onCall) {
        this->onCall(call);
      }
      std::pair<int, Json> answer{ 404, Json::object() };
      if (call.path == "/v1/rows-tx") {
        answer = this->Transact(Json::parse(request.body));
      } else if (call.path == "/v1/rows-get") {
        answer = this->Get(call.table);
      } else if (call.path == "/v1/rows-feed") {
        answer = this->Feed(call);
        if (this->beforeFeedAnswer) {
          this->beforeFeedAnswer(call, answer.second.at("ver").get<std::uint64_t>());
        }
      }
      SleepMs(4);
      if (!aStream.Write(Answer(answer.first,
                                answer.second.dump(),
                                { { "Content-Type", "application/json" },
                                  { "Store-Era", std::to_string(this->era) } }))) {
        return;
      }
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t version = 0;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::vector<std::unique_ptr<Listener>> links;
};

// ---- backend servers ---------------------------------------------------------------------------

struct Run
{
  std::string id;
  std::string server;
  std::string account;
  long startedMs = 0;
};

struct ServerOptions
{
  std::string id;
  std::string service;
  std::string domain;
  long workMs = 20;
  int slots = 9;
  // Rejects each request as soon as its head is read: the server is full for the whole trial.
  bool isFull = false;
  // How long after such an early answer it reads on.
  long readOnAfterMs = 1000;
  // Options of the listening socket.
  std::function<void(int)> prepare = nullptr;
};

// A sound server: runs what it accepts, rejects what is for another instance or more than it can
// queue, and signs its answers. Its entry is written to the store every 1.5 s.
class Server
{
public:
  Server(Store& aStore, Record& aRecord, ServerOptions aOptions)
    : store(aStore)
    , record(aRecord)
    , options(std::move(aOptions))
    , port(FreePort())
    , listener(
        port, [this](Stream& aStream) { this->Serve(aStream); }, this->options.prepare)
  {
    this->Report();
    std::thread([this] {
      while (true) {
        SleepMs(1500);
        if (this->reports) {
          this->Report();
        }
      }
    }).detach();
  }

  std::vector<Run> Runs()
  {
    const std::lock_guard guard(this->mutex);
    return this->runs;
  }
  // Whether the head of the request has arrived.
  bool HasSeen(const std::string& aId)
  {
    const std::lock_guard guard(this->mutex);
    return this->seen.contains(aId);
  }
  long Rejected() const { return this->rejected; }
  // Heads that arrived without the whole body.
  long Truncated() const { return this->truncated; }
  const std::string& Id() const { return this->options.id; }

private:
  void Report()
  {
    const Json entry{ { "service", this->options.service },
                      { "address", "127.0.0.1:" + std::to_string(this->port) },
                      { "zone", this->options.domain },
                      { "version", "v1" },
                      { "max_concurrency", this->options.slots },
                      { "state", "ready" },
                      { "warmup_left_ms", 0 },
                      { "sequence", ++this->sequence },
                      { "born", 1700000000000 } };
    this->store.Put("servers", this->options.id, entry.dump());
  }

  // Queues the request until a slot is free. A request whose connection closes is dropped, and one
  // that doesn't fit into the queue is rejected; returns false then.
  bool AwaitSlot(Stream& aStream, const std::string& aId)
  {
    ++this->waiting;
    bool isRejected = this->waiting > 3 * this->options.slots;
    bool isGone = false;
    while (!isRejected && !isGone) {
      int running = this->running;
      if (running < this->options.slots &&
          this->running.compare_exchange_strong(running, running + 1)) {
        --this->waiting;
        return true;
      }
      pollfd peer{ aStream.fd, POLLRDHUP, 0 };
      isGone = ::poll(&peer, 1, 2) > 0;
    }
    --this->waiting;
    if (isRejected) {
      aStream.Write(Answer(503,
                           "",
                           { { "X-Plantainhaven-Request-Id", aId },
                             { "X-Plantainhaven-Not-Executed", "1" },
                             { "Connection", "close" } }));
    } else {
      this->record.Line("server %s: drops %s from its queue, its connection was closed",
                        this->options.id.c_str(),
                        aId.c_str());
    }
    return false;
  }

  void Serve(Stream& aStream)
  {
    Message request;
    while (ReadHead(aStream, request, 10000)) {
      const std::string id = request.Field("X-Plantainhaven-Request-Id");
      {
        const std::lock_guard guard(this->mutex);
        this->seen.insert(id);
      }
      if (this->options.isFull) {
        ++this->rejected;
        this->record.Line("server %s: %s rejected, full", this->options.id.c_str(), id.c_str());
        aStream.Write(Answer(503,
                             "",
                             { { "X-Plantainhaven-Request-Id", id },
                               { "X-Plantainhaven-Not-Executed", "1" } }));
        // It keeps the connection and reads on later.
        SleepMs(request.Field("Content-Length").empty() ? 0 : this->options.readOnAfterMs);
        if (!ReadBody(aStream, request, false, 9000)) {
          return;
        }
        continue;
      }
      if (!ReadBody(aStream, request, false, 10000)) {
        ++this->truncated;
        this->record.Line("server %s: %s ended before its whole body had arrived",
                          this->options.id.c_str(),
                          id.c_str());
        return;
      }
      if (request.Field("X-Plantainhaven-Target-Instance") != this->options.id) {
        aStream.Write(Answer(421, "", { { "X-Plantainhaven-Instance-Id", this->options.id } }));
        continue;
      }
      if (!this->AwaitSlot(aStream, id)) {
        return;
      }
      {
        const std::lock_guard guard(this->mutex);
        this->runs.push_back(
          { id, this->options.id, request.Field("X-Plantainhaven-Tenant-Id"), NowMs() });
      }
      this->record.Line("server %s: begins to work on %s", this->options.id.c_str(), id.c_str());
      const int running = this->running;
      SleepMs(this->options.workMs);
      --this->running;
      if (!aStream.Write(Answer(
            200,
            this->options.service + " " + id,
            { { "X-Plantainhaven-Request-Id", id },
              { "X-Plantainhaven-Response-Signature", "sig." + this->options.id + "." + id },
              { "Keep-Alive", "timeout=10" },
              { "X-Plantainhaven-Server-Load",
                std::to_string(running) + ",0," + std::to_string(this->options.slots) } }))) {
        return;
      }
    }
  }

  Store& store;
  Record& record;
  ServerOptions options;
  int port;
  std::mutex mutex;
  std::vector<Run> runs;
  std::set<std::string> seen;
  std::atomic<long> rejected{ 0 };
  std::atomic<long> truncated{ 0 };
  std::atomic<int> running{ 0 };
  std::atomic<int> waiting{ 0 };
  std::atomic<bool> reports{ true };
  long sequence = 0;
  Listener listener;
};

// ---- callers -----------------------------------------------------------------------------------

struct Outcome
{
  // 0: the connection ended without a complete answer; -1: nothing could be sent.
  int status = 0;
  std::string body;
  std::string id;
  // Answered by a server, with its signature.
  bool isSigned = false;
  long sentMs = 0;
  long tookMs = 0;
};

inline std::string
NewId()
{
  static std::atomic<unsigned> sCount{ 0 };
  char text[40];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()), ++sCount);
  return text;
}

inline int
ConnectTo(int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

// Sends one request on a connection that stays open, and waits for its answer.
inline Outcome
Ask(Stream& aStream,
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aKey,
    long aDeadlineMs,
    const std::string& aBody = {},
    const std::string& aObject = {})
{
  Outcome outcome;
  outcome.id = NewId();
  outcome.sentMs = NowMs();
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: site.example\r\n" +
                     "X-Plantainhaven-Request-Id: " + outcome.id + "\r\n" +
                     "X-Plantainhaven-Deadline: " + std::to_string(aDeadlineMs) + "\r\n" +
                     "Authorization: Token " + aKey + "\r\n";
  if (!aObject.empty()) {
    text += "X-Plantainhaven-Affinity-Key: " + aObject + "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n";
  if (!aStream.Write(text)) {
    outcome.status = -1;
    return outcome;
  }
  // The answer may come before the whole body is sent.
  if (!aBody.empty()) {
    aStream.Write(aBody);
  }
  Message answer;
  if (ReadHead(aStream, answer, aDeadlineMs + 500) &&
      ReadBody(aStream, answer, true, aDeadlineMs + 500)) {
    outcome.status = answer.Status();
    outcome.body = answer.body;
    outcome.isSigned = !answer.Field("X-Plantainhaven-Response-Signature").empty();
  }
  outcome.tookMs = NowMs() - outcome.sentMs;
  return outcome;
}

inline Outcome
AskOnce(int aPort,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aKey,
        long aDeadlineMs,
        const std::string& aBody = {},
        const std::string& aObject = {})
{
  Stream stream{ ConnectTo(aPort), {} };
  if (stream.fd < 0) {
    Outcome outcome;
    outcome.status = -1;
    return outcome;
  }
  Outcome outcome = Ask(stream, aMethod, aPath, aKey, aDeadlineMs, aBody, aObject);
  ::close(stream.fd);
  return outcome;
}

// ---- the daemon's processes ---------------------------------------------------------------------

class Vm
{
public:
  Vm(Store& aStore,
     const std::string& aFolder,
     std::string aName,
     const std::string& aDomain,
     const std::string& aRegion,
     const std::string& aDomains,
     const std::string& aBounds)
    : name(std::move(aName))
    , file(aFolder + "/" + this->name + ".ini")
    , logFile(aFolder + "/" + this->name + ".log")
    , callers(FreePort())
    , readiness(FreePort())
  {
    const int lookups = FreePort();
    const int peers = FreePort();
    const int metrics = FreePort();
    const int relay = FreePort();
    std::FILE* const out = std::fopen(this->file.c_str(), "w");
    std::fprintf(out,
                 "[log]\nlevel = info\n[vm]\nname = %s\naddress = 127.0.0.1\nregion = %s\n"
                 "failure_domain = %s\n[listen]\ncallers = 127.0.0.1:%d\n"
                 "readiness = 127.0.0.1:%d\nlookups = 127.0.0.1:%d\npeers = %d\nmetrics = %d\n"
                 "relay_ports = %d,%d\n[store]\naddress = 127.0.0.1:%d\n[places]\n"
                 "failure_domains = %s\n[bounds]\nvalues = %s\nheartbeat = 1500ms\n",
                 this->name.c_str(),
                 aRegion.c_str(),
                 aDomain.c_str(),
                 this->callers,
                 this->readiness,
                 lookups,
                 peers,
                 metrics,
                 relay,
                 relay,
                 aStore.AddLink(this->name),
                 aDomains.c_str(),
                 aBounds.c_str());
    std::fclose(out);
  }
  ~Vm() { this->Kill(); }
  Vm(const Vm&) = delete;
  Vm& operator=(const Vm&) = delete;

  void Start(const std::string& aProgram)
  {
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("PLANTAINHAVEN_SETTINGS", this->file.c_str(), 1);
      ::execl(aProgram.c_str(), aProgram.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void Signal(int aSignal) const
  {
    if (this->pid > 0) {
      ::kill(this->pid, aSignal);
    }
  }
  void Kill()
  {
    if (this->pid > 0) {
      ::kill(this->pid, SIGCONT);
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  bool IsReady() const
  {
    Stream stream{ ConnectTo(this->readiness), {} };
    if (stream.fd < 0) {
      return false;
    }
    Message answer;
    const bool isReady = stream.Write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
                         ReadHead(stream, answer, 1000) && answer.Status() == 200;
    ::close(stream.fd);
    return isReady;
  }
  const std::string& Name() const { return this->name; }
  int Callers() const { return this->callers; }

private:
  std::string name;
  std::string file;
  std::string logFile;
  int callers;
  int readiness;
  pid_t pid = -1;
};

// Runs a case and ends this process at once with its exit status; the threads of the stand-ins
// need no end of their own. The case has ended the processes that it started.
inline int
RunCase(int (*aCase)(int, char**), int aCount, char** aArguments)
{
  const int status = aCount == 4 ? aCase(aCount, aArguments) : 2;
  std::fflush(nullptr);
  std::_Exit(status);
}

template<typename Condition>
bool
WaitUntil(long aMs, Condition aCondition)
{
  const long until = NowMs() + aMs;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    SleepMs(20);
  }
  return aCondition();
}

} // namespace standin
